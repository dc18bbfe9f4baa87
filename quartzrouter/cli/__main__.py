from quartzrouter.cli.main import main

main()
