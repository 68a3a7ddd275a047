"""HTTP/1.1 server and client on curio and h11.

Public names: `serve_http` and `open_listener` (server), `HttpClient` and
`create_client` (client), the messages and the errors.
"""
