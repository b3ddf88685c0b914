Feature: Bytes that are no answer and never end harm nobody else
  Endpoints, the store and callers in trouble may send bytes until the other
  side closes. An entry that reads them all has no memory and no time for its
  other requests.

  Scenario Outline: The answer to <path> ends though its bytes do not
    Guards against memory, processor time and time without a bound wherever
    something from outside is read.
    When <path> is answered by each of the endless answers
    Then each has failed within 1.5 s, of 4.0 s that it might take
    And no event loop stood still for over 0.1 s
    And the process has grown by at most 48 MB

    Examples:
      | path          |
      | a report      |
      | an order      |
      | a store call  |
      | another entry |

  Scenario Outline: The answer to <path> on a thread ends though its bytes do not
    Guards against the same where a client blocks.
    When <path> on a thread is answered by each of the endless answers
    Then each has failed within <seconds> s, of <allowed> s that it might take
    And the process has grown by at most <size> MB

    Examples:
      | path                  | seconds | allowed | size |
      | the host list         | 3.0     | 2.0     | 100  |
      | a transaction         | 9.0     | 8.0     | 100  |
      | a watch               | 3.0     | 2.0     | 100  |
      | a health check        | 3.0     | 2.0     | 48   |
      | the load of an engine | 3.0     | 2.0     | 48   |

  Scenario Outline: The answer to a transaction ends though its <part> come byte by byte
    Guards against a timeout that begins anew with each byte.
    When a transaction is answered with <part> that come byte by byte
    Then it has failed within 1.5 s, of reads of 0.2 s

    Examples:
      | part            |
      | header lines    |
      | interim answers |
      | trailers        |

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

  Scenario Outline: <kind> in a stream
    Guards against an entry that grows past the memory of its machine, and
    against streams that are not taken up elsewhere.
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"
    And one engine with the first layer answers with <kind> that never end
    When callers send 10 streams of 20 events a second for 4 s
    Then each stream ends <result>
    And the entry has taken at most 128 MB

    Examples:
      | kind                      | result       |
      | header lines              | whole        |
      | one event                 | whole        |
      | comments                  | whole        |
      | a chunk extension         | whole        |
      | answers to other requests | whole        |
      | one event again and again | whole or cut |
      | events                    | whole or cut |

  Scenario Outline: <kind> from the store
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"
    And the store answers with <kind> that never end
    When callers send 20 calls a second of "/lists/x" and of "/orders/x" for 4 s
    Then each call of "/lists/x" ends whole
    And the entry has taken at most 128 MB

    Examples:
      | kind         |
      | header lines |
      | chunks       |

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

  Scenario Outline: A caller that sends <kind> without end is refused
    When a caller sends <kind> without end
    Then it is refused with <status> within 1.0 s
    And the process has grown by at most 48 MB

    Examples:
      | kind              | status |
      | one header        | 431    |
      | header lines      | 431    |
      | a target          | 431    |
      | a chunk extension | 400    |
      | trailers          | 431    |
      | small chunks      | 413    |
