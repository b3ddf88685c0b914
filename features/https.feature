Feature: HTTP server with TLS
  Guards against TLS weakening the server's size limits, time limits or
  graceful stop.

  Background:
    Given an HTTPS server for 2 requests at once and bodies of 1000000 bytes

  Scenario: A large body arrives whole, a larger one is refused
    When an HTTP body of 1000000 bytes is posted
    Then the HTTP status is 200
    When an HTTP body of 1000001 bytes is posted
    Then the HTTP status is 413
    And the HTTP application ran 1 times

  Scenario: A caller that sends on after a refusal reads the refusal
    When an HTTP body of 30000000 bytes is posted
    Then the HTTP status is 413
    And the HTTP application ran 0 times

  Scenario: A refused caller that goes on sending is cut off
    When a caller without end sends a body that is too large
    Then it reads the refusal and is cut off

  Scenario: A caller that does not read pushes the application back
    When a caller asks for 64 MB and reads none of it
    Then the HTTP application is pushed back below 16 MB
    When the caller reads the rest
    Then the caller got 64 MB

  Scenario: A stop finishes what runs and accepts no more
    When 2 HTTP requests are held by the application
    And the HTTP server is told to stop
    Then the HTTP port refuses connections
    When the held HTTP requests are released
    Then the held HTTP requests got whole answers
    And the HTTP server has stopped

  Scenario: The application sees that its caller has gone
    When an HTTPS caller asks to be waited for and hangs up
    Then the HTTP application sees the hang-up

  Scenario: A caller that does not read is cut off when its time is up
    When a caller reads none of an answer that must end soon
    Then the HTTP application is told to end and its thread is free
    And what the caller can still read is not a whole answer

  Scenario: Connections without a whole handshake hold up nobody
    When 8 connections send the beginning of a handshake and no more
    And an HTTP body of 10 bytes is posted
    Then the HTTP status is 200
    When the HTTP server is told to stop
    Then the HTTP server has stopped

  Scenario: A request without TLS is not run
    When a caller sends a request without TLS
    Then the connection ends without an answer
    And the HTTP application ran 0 times

  Scenario: A renewed certificate is shown without a restart
    When an HTTPS caller connects and asks
    And the certificate of the HTTP server is renewed
    Then the same connection is answered, and a new one shows the new one

  Scenario: Operators are served over TLS
    Given an operators' port with TLS
    Then its state is read over TLS, and not without

  Scenario Outline: Clients of the platform check who answers
    When the <client> asks the HTTPS server, whose authority is <named>
    Then the client <outcome>

    Examples:
      | client    | named                 | outcome              |
      | host list | in SSL_CERT_FILE      | gets an answer       |
      | host list | not known             | fails and sends none |
      | store     | in SSL_CERT_FILE      | gets an answer       |
      | store     | not known             | fails and sends none |
      | engine    | in SSL_CERT_FILE      | gets an answer       |
      | engine    | not known             | fails and sends none |
