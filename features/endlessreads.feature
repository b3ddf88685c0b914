Feature: Whatever is read from outside has an end
  Endpoints, the store and callers in trouble may send bytes until the other
  side closes. One process reads each kind here, by all its ways of reading.

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
