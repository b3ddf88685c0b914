Feature: HTTP towards callers on an event loop
  A parser that depends on how bytes are split, or accepts a request whose
  length is ambiguous, lets a caller smuggle a second request past a proxy.

  Background:
    Given a server for callers that notes each request

  Scenario: Any cut of a request into pieces reads the same
    Then requests with a length or in chunks are read in full, however they are cut

  Scenario Outline: What could be read in two ways is refused
    When a caller sends a request with <head> and a second one within it
    Then it gets status 400 and the server never reads the second one

    Examples:
      | head                                                    |
      | Content-Length: 4\r\nTransfer-Encoding: chunked         |
      | Transfer-Encoding: chunked\r\nContent-Length: 4         |
      | Content-Length: 4\r\nContent-Length: 60                 |
      | Content-Length: +4                                      |
      | Content-Length : 4                                      |
      | Transfer-Encoding: chunked, identity                    |
      | Transfer-Encoding: xchunked                             |
      | X: a\r\n b: c\r\nContent-Length: 4                      |

  Scenario: Bytes at random harm nobody else
    Then random bytes never end the server or reach it as a proper request

  Scenario Outline: Bounds are told by the right status
    When a caller sends <what>
    Then it gets status <status> and the connection closes

    Examples:
      | what                        | status |
      | a head that is too large    | 431    |
      | a body that is too large    | 413    |
      | chunks that are too large   | 413    |
      | half a head and then waits  | 408    |

  Scenario: Requests sent ahead are answered in order
    When a caller sends 5 requests at once
    Then it gets 5 answers in order on that connection

  Scenario: Requests that were read are answered though the server stops
    Guards against requests sent ahead on a kept connection that is closed
    behind the answer to the first one.
    When the server stops while the first of 3 requests sent at once is served
    Then it gets 3 answers in order on that connection
    And only the last one tells that the connection closes

  Scenario: A caller that leaves cancels its request
    When a caller leaves while its request is served
    Then the request is cancelled
