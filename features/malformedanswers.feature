Feature: An answer that is no HTTP reaches no caller
  Endpoints in trouble may send statuses, header lines and chunks that are none.
  Neither the meaning nor the length of such an answer is known.

  Scenario Outline: A connection takes no malformed answer to <method> for one
    Guards against an answer with a status of 000, or another line that is no
    HTTP, that a parser lets pass.
    When each malformed answer to <method> arrives <cut>, <place>
    Then each call has failed, and its connection is not used again

    Examples:
      | method | cut          | place                                    |
      | GET    | at once      | on a new connection                      |
      | GET    | byte by byte | on a new connection                      |
      | GET    | byte by byte | behind a sound answer                    |
      | GET    | byte by byte | behind an answer to another request      |
      | HEAD   | at once      | on a new connection                      |
      | HEAD   | byte by byte | behind a sound answer                    |

  Scenario: An answer that is odd and HTTP all the same is taken
    Guards against checks that refuse sound answers.
    Then an answer with a status of 100 to 599 but 101, or with odd text, is read as it is

  Scenario: Callers get no malformed answer of a service
    Guards against broken answers that are passed on, and calls that run twice.
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"
    When each malformed answer meets a call of "/orders/x" and one of "/lists/x"
    Then each call of "/orders/x" got 502 and ran once
    And each call of "/lists/x" got its own answer from another run
    And the log tells the fault of each

  Scenario: Callers get no malformed answer of an engine
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"
    When each malformed answer meets a stream of 5 events
    Then each stream has its events once and in order

  Scenario: A stream that may run once is not run again for a malformed answer
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"
    And streams may not be resumed
    When each malformed answer meets a stream of 5 events
    Then each stream that met one ran once, and got 502 or was cut off

  Scenario Outline: An endpoint that sends <kind> in all answers gets few requests
    Guards against an endpoint in trouble that is tried by each request.
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"
    And one service sends <kind> in all answers
    When callers send 20 calls a second of "/lists/x" and of "/orders/x" for 4 s
    Then each call of "/lists/x" ends whole
    And the calls of "/orders/x" that meet it end as unknown, the others are whole
    And the service got at most 20 calls

    Examples:
      | kind                                    |
      | a status of 000                         |
      | a status of 999                         |
      | the byte 01 in the reason               |
      | a blank in a field name                 |

  Scenario Outline: An engine that sends <kind> in all answers gets few streams
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"
    And one engine with the first layer sends <kind> in all answers
    When callers send 10 streams of 20 events a second for 4 s
    Then each stream ends whole
    And the endpoint got at most 10 requests

    Examples:
      | kind                                    |
      | a status of 000                         |
      | a blank in a field name                 |
      | a trailer without a colon               |

  Scenario Outline: <request> that meets malformed answers is no suspect
    Guards against requests that are refused though they crash nothing: an
    endpoint that sends an answer, of whatever kind, lives.
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"
    And two more services in "a"
    When the same <request> meets malformed answers of <count> endpoints
    Then the same <request> is whole once answers are sound

    Examples:
      | request | count |
      | call    | 3     |
      | stream  | 2     |

  Scenario Outline: A client on threads takes no malformed answer for one, read <how>
    Guards against a library that drops all lines behind one that it can't read:
    what tells where the body ends is lost with them.
    When each malformed answer is read <how> by a client on threads
    Then each read has failed at once

    Examples:
      | how          |
      | preloaded    |
      | up to a size |
      | as a stream  |

  Scenario Outline: A malformed answer to <call> has failed
    When each malformed answer is read as one to <call>
    Then each read has failed at once

    Examples:
      | call                  |
      | the host list         |
      | a transaction         |
      | a watch               |
      | a health check        |
      | the load of an engine |
      | an import             |
      | the end of a session  |
      | an order of layers    |
      | a relayed call        |
      | a report              |
      | an order              |
      | a store call          |
      | another entry         |
      | an order of a command |
      | a caller's request    |

  Scenario Outline: A deeply nested answer to <call> has failed
    Guards against bodies that end the process or thread that decodes them.
    When an answer nested 200000 deep is read as one to <call>
    Then it is not taken, and the reader goes on

    Examples:
      | call                  |
      | the host list         |
      | a transaction         |
      | a watch               |
      | the load of an engine |
      | steps of an engine    |
      | an export             |
      | blocks of an engine   |
      | an order of a command |
      | a store call          |
      | a leader              |
      | a configuration       |
      | a caller's prompt     |

  Scenario: What makes no sense of what an engine tells of itself is not taken
    Guards against numbers that end the agent of the engine.
    When an engine tells odd values of its load and its layers
    Then none of them is taken, and sound ones are

  Scenario: What an endpoint tells beside its answer harms no call
    Guards against a number in a header that ends the call that it came with.
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"
    When the answers to calls carry odd values in headers
    Then each of these calls got its own answer

  Scenario: Odd numbers in the headers of a request harm nobody
    Guards against a number that ends its own request and others.
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"
    When calls and streams carry odd numbers in headers, each before a sound one
    Then none of them got 500
    And each sound one is whole
