"""Types of arguments that several commands take: an address, a duration."""

import click


class Address(click.ParamType):
    """A host and a port; converted to a tuple of both."""

    name = "address"

    def convert(self, value, param, ctx) -> tuple[str, int]:
        """Converts a text; fails if it is no address."""
        if isinstance(value, tuple):
            return value
        from quartzrouter.configuration_section import ConfigurationError, parse_address

        try:
            return parse_address(value, "it")
        except ConfigurationError as error:
            self.fail(f"{error}: write it as 127.0.0.1:7700", param, ctx)


class Time(click.ParamType):
    """A duration with its unit, written as in plans; converted to microseconds."""

    name = "duration"

    def convert(self, value, param, ctx) -> int:
        """Converts a text; fails if it is no duration."""
        from quartzrouter.config.quantity import Duration, QuantityError, parse_quantity

        if isinstance(value, int):
            return value
        try:
            duration = parse_quantity(value)
        except QuantityError as error:
            self.fail(str(error), param, ctx)
        if not isinstance(duration, Duration):
            self.fail(f"{value!r} is not a duration such as 300ms", param, ctx)
        return duration.us


ADDRESS, TIME = Address(), Time()
