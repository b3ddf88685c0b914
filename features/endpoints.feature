Feature: Calls to an endpoint over new connections
  Guards against calls lost on a reused connection: an endpoint may close a
  connection after its answer without announcing it in a header.

  Scenario Outline: No call is lost on a connection that the endpoint closes
    Given an endpoint that closes each connection at its second request
    When <what> are made one after another
    Then all are answered, each over a connection of its own

    Examples:
      | what                      |
      | health checks of an engine |
      | reads of an engine's load  |
      | calls of a service         |
