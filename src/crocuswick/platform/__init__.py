"""Platform adapter: settings file, store client, HTTP headers, calls to engines."""
