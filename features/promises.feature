Feature: A soak notices broken promises

  Scenario Outline: One broken promise is found among good requests
    Given records of good requests and <fault>
    When the promises are checked
    Then exactly one is reported, about "<words>"

    Examples:
      | fault                                | words                       |
      | a complete answer that lacks a token | not the right text          |
      | a stream with a doubled token        | not a beginning of the      |
      | an answer of another request         | not the right text          |
      | a refused request that ran           | told not-run                |
      | an order that ran twice              | ran 2 times                 |
      | an order that never ran              | complete, but never ran     |
      | a run in another member's name       | ran as rival                |
      | two answers to one order             | repeats got different       |

  Scenario: Good requests break no promise
    Given records of good requests and nothing else
    When the promises are checked
    Then none is reported

  Scenario Outline: The count of a test run is honest
    Given a report with <passed> passed, <failed> failed and "<listed>" listed
    When the run is tallied
    Then its last line is "<line>" and its exit code is <code>

    Examples:
      | passed | failed | listed   | line               | code |
      | 3      | 0      |          | 3 passed, 0 failed | 0    |
      | 3      | 1      |          | 3 passed, 1 failed | 1    |
      | 3      | 1      | bad 0    | 3 passed, 0 failed | 0    |
      | 3      | 0      | bad 7    | 3 passed, 1 failed | 1    |
      | 0      | 0      |          | 0 passed, 1 failed | 1    |
