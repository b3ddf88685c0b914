Feature: Bytes that are no answer and never end harm nobody else
  Endpoints in trouble may send bytes until the other side closes. An entry that
  reads them all has no memory and no time for its other requests.

  Scenario Outline: <kind> in the answers of a service
    Guards against an entry that grows past the memory of its machine, and
    against calls that wait for their timeout though it is clear that no answer
    comes.
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"
    And one service answers with <kind> that never end
    When callers send <rate> calls a second of "/lists/x" and of "/orders/x" for 4 s
    Then each call of "/lists/x" ends <repeatable>
    And the calls of "/orders/x" that meet it end as unknown, the others are whole
    And no call took longer than <seconds> s
    And the service got at most <runs> calls
    And the entry has taken at most 128 MB

    Examples: In the head, or in what frames the body
      | kind                      | rate | repeatable | seconds | runs |
      | header lines              | 20   | whole      | 1.0     | 20   |
      | one header                | 20   | whole      | 1.0     | 20   |
      | a reason                  | 20   | whole      | 1.0     | 20   |
      | interim answers           | 20   | whole      | 1.0     | 20   |
      | answers to other requests | 20   | whole      | 1.0     | 20   |
      | a body to another request | 20   | whole      | 1.0     | 20   |
      | a chunk extension         | 20   | whole      | 1.0     | 20   |
      | trailers                  | 20   | whole      | 1.0     | 20   |
      | small chunks              | 20   | whole      | 1.0     | 20   |

    Examples: In the body, which is forwarded once it is large, up to the deadline
      | kind                                 | rate | repeatable   | seconds | runs |
      | a body that ends with the connection | 4    | whole or cut | 8.5     | 16   |
      | chunks                               | 4    | whole or cut | 8.5     | 16   |

    Examples: Behind the answer, which is sound
      | kind                        | rate | repeatable | seconds | runs |
      | bytes behind a whole answer | 20   | whole      | 0.5     | 500  |

  Scenario Outline: <kind> of one service keep no call of another one
    Guards against an entry that reads what has no end for so long at a time that
    its other requests wait.
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"
    And a second service, "other"
    And all services but it answer with <kind> that never end
    When callers send 4 calls a second of "/lists/x" and of "/orders/x" for 4 s, beside 25 of "/other/x"
    Then at least 4 calls have met the endless answers
    And 98 of 100 calls of "/other/x" are whole within 0.3 s

    Examples:
      | kind                                 |
      | chunks                               |
      | small chunks                         |
      | a body that ends with the connection |

  Scenario Outline: All endpoints answer with <kind> at once
    Guards against memory that grows with the number of such answers.
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"
    And all endpoints answer with <kind> that never end
    When callers send 20 calls a second of "/lists/x" and of "/orders/x" for 3 s
    Then no call took longer than 8.5 s
    When callers send 10 streams of 20 events a second for 3 s
    Then no call took longer than 8.5 s
    And the entry has taken at most 128 MB
    And it serves 10 s after the endpoints have recovered

    Examples:
      | kind         |
      | header lines |
      | chunks       |
      | events       |

  Scenario Outline: A large answer that ends is whole
    Guards against bounds that cut off what is sound, and against memory for
    answers that their callers read slowly.
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"
    And services whose answers have <size> MB, <framing>
    When 4 callers that read <rate> MB a second send a call of "<path>" each
    Then each of them gets all of its answer
    And the entry has taken at most 96 MB

    Examples:
      | size | framing             | rate | path      |
      | 20   | with a length       | 10   | /orders/x |
      | 12   | in chunks           | 6    | /lists/x  |
      | 12   | without a length    | 6    | /orders/x |
