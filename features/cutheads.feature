Feature: An answer that is cut in its head is no answer
  Guards against an answer whose connection closes within its head, which was
  taken for a whole one with an empty or short body: a reader of header lines
  takes the end of the connection for the end of the head.

  Scenario Outline: An answer to a client on threads that is cut in its head has failed
    When <kind> is cut at each byte and closed by <end>, read by a client on threads
    Then only whole answers are taken for whole

    Examples:
      | kind                              | end |
      | an answer with a length           | FIN |
      | an answer with a length           | RST |
      | an answer in chunks               | FIN |
      | an answer in chunks               | RST |
      | an answer without a body          | FIN |
      | an answer behind an interim one   | FIN |
      | an answer behind an interim one   | RST |

  Scenario Outline: An answer to <call> that is cut in its head has failed
    When an answer is cut at each byte of its head and read as one to <call>
    Then only whole answers are taken for whole

    Examples:
      | call                  |
      | the host list         |
      | a transaction         |
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
      | a caller's request    |

  Scenario: A request that is cut is not served
    When a request is cut at each byte and its caller closes its side
    Then only the whole request is served
