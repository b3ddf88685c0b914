Feature: HTTP server
  Guards against unbounded memory and queues under load, and against requests
  cut off by a stop.

  Background:
    Given an HTTP server for 2 requests at once and bodies of 1000 bytes

  Scenario: A body over the limit is refused and nothing runs
    When an HTTP body of 1000 bytes is posted
    Then the HTTP status is 200
    When an HTTP body of 1001 bytes is posted
    Then the HTTP status is 413
    And the HTTP application ran 1 times

  Scenario: More requests than may run at once are refused, not queued
    When 2 HTTP requests are held by the application
    And an HTTP body of 10 bytes is posted
    Then the HTTP status is 503
    And the HTTP application ran 2 times

  Scenario: A stop finishes what runs and accepts no more
    When 2 HTTP requests are held by the application
    And the HTTP server is told to stop
    Then the HTTP port refuses connections
    When the held HTTP requests are released
    Then the held HTTP requests got whole answers
    And the HTTP server has stopped

  Scenario: A stop closes idle connections
    When an HTTP body of 10 bytes is posted
    And the HTTP server is told to stop
    Then the HTTP server has stopped

  Scenario: A stop ends though a caller goes on using its connection
    Guards against a stop that never ends, so that the process is killed with
    requests in flight.
    When a caller goes on sending requests on one connection
    And the HTTP server is told to stop
    Then the HTTP server has stopped
    And all requests on that connection were answered, the last with its end

  Scenario: A stop that the loop sees before it is woken fails nothing
    When the HTTP server is told to stop and is woken only 1.5 s later
    Then the HTTP server stopped without an error

  Scenario: A caller that does not read pushes the application back
    When a caller asks for 64 MB and reads none of it
    Then the HTTP application is pushed back below 16 MB
    When the caller reads the rest
    Then the caller got 64 MB
    And the HTTP server made no temporary file

  Scenario: A piece is sent at once only if nothing waits before it
    When a caller reads none of an answer whose pieces are sent at once
    Then the HTTP application sends no piece before the head
    And is told below 64 MB that a piece must wait
    And the caller can read each piece once and in order

  Scenario: What is flushed after its connection was closed is dropped
    When 1 HTTP requests are held by the application
    And its connection is closed with a piece of the answer left
    Then flushing the piece logs no error

  Scenario: The application sees that its caller has gone
    When a caller asks to be waited for and hangs up
    Then the HTTP application sees the hang-up

  Scenario: A caller that does not read is cut off when its time is up
    When a caller reads none of an answer that must end soon
    Then the HTTP application is told to end and its thread is free
    And what the caller can still read is not a whole answer

  Scenario: A caller that takes none of its answer is cut off
    Given an HTTP server that bears 1 s of a caller's silence
    When a caller asks for 64 MB and reads none of it
    Then the HTTP application is told to end and its thread is free
    And what the caller can still read is not a whole answer

  Scenario Outline: A caller that falls silent within a request is cut off
    Given an HTTP server that bears 1 s of a caller's silence
    When a caller sends the <part> of a request and falls silent
    Then its HTTP connection is closed
    And the HTTP application ran 0 times

    Examples:
      | part                    |
      | first half of the head  |
      | head and half the body  |
