"""Kinds of arguments that several commands take: an address, a duration."""

import click


class Address(click.ParamType):
    name = "address"

    def convert(self, value, param, ctx) -> tuple[str, int]:
        if isinstance(value, tuple):
            return value
        from quartzrouter.configuration_section import ConfigurationError, parse_address

        try:
            return parse_address(value, "it")
        except ConfigurationError as error:
            self.fail(f"{error}: write it as 127.0.0.1:7700", param, ctx)


class Time(click.ParamType):
    """A duration with its unit, as in plans; gives us."""

    name = "duration"

    def convert(self, value, param, ctx) -> int:
        from quartzrouter.config.quantity import Duration, QuantityError, parse_quantity

        if isinstance(value, int):
            return value
        try:
            found = parse_quantity(value)
        except QuantityError as error:
            self.fail(str(error), param, ctx)
        if not isinstance(found, Duration):
            self.fail(f"{value!r} is no duration, as 300ms", param, ctx)
        return found.us


ADDRESS, TIME = Address(), Time()
