pytest_plugins = ["known_red"]
