Feature: A soak detects violated guarantees
  Guards against checks of a soak that miss a violation or report a false
  one, and against a tally that hides failures.

  Scenario Outline: One broken promise is found among good requests
    Given records of good requests and <fault>
    When the promises are checked
    Then exactly one is reported, about "<words>"

    Examples:
      | fault                                           | words                      |
      | a complete answer that lacks a token            | not the right text         |
      | a stream with a doubled token                   | not a beginning of the     |
      | an answer of another request                    | not the right text         |
      | a refused request that ran                      | told not-run               |
      | an order that ran twice                         | ran 2 times                |
      | an order that never ran                         | complete, but never ran    |
      | a run in another team's name                  | ran as rival               |
      | two answers to one order                        | repeats got different      |
      | an order without a key, run twice               | ran 2 times, without a key |
      | another call's answer to an order without a key | answer of                  |
      | a keyed completion begun at two ends            | began as                   |
      | a keyed completion begun twice                  | began as                   |

  Scenario: Good requests break no promise
    Given records of good requests and nothing else
    When the promises are checked
    Then none is reported

  Scenario: A prompt that crashes too many engines is found
    When 3 engines crashed by one prompt and 4 by another
    Then exactly one is reported, about "crashed 4 engines"

  Scenario Outline: An entry with old rules is found
    When entries show revisions <shown> after 4 and 5 were accepted
    Then exactly one is reported, about "<words>"

    Examples:
      | shown | words               |
      | 4, 4  | 5 was accepted      |
      | 6, 5  | different revisions |

  Scenario: An entry that falls back to old rules is found
    When an entry shows revisions 4, 5, 0, 5, 4
    Then exactly one is reported, about "went from 5 to 4"

  Scenario: Records of an engine that a prompt crashed are read
    When an engine crashes by a prompt
    Then its record of runs is found in what it printed

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

  Scenario: A known failure has an open issue
    Given a report with 3 passed, 1 failed and "bad 0" listed
    And the listed failure names no issue
    When the run is tallied
    Then its last line is "3 passed, 1 failed" and its exit code is 1
