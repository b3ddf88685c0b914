Feature: Suspicion of parts of prompts that crash endpoints
  Guards against a part that goes on crashing endpoints since no two requests
  with it are alike, and against sound parts that are refused in its place.
  Entries exchange what they see; time is virtual.

  Scenario Outline: Entries together find the part among sound ones
    Given <entries> entries that lose <loss> of their news of crashes
    And <heads> endpoints that are back after <back> s
    When for 40 s <bad> requests a second crash endpoints beside <sound> sound ones a second
    Then at most 3 of them reach endpoints later than 3 s after the fifth crash
    And no sound request is refused

    Examples:
      | entries | loss | heads | back | bad    | sound |
      | 1       | 0    | 4     | 1.5  | 4      | 40    |
      | 4       | 0.1  | 4     | 10   | 4      | 40    |
      | 4       | 0.3  | 4     | 1.5  | 14     | 40    |
      | 20      | 0.3  | 12    | 2    | 2      | 60    |
      | 20      | 0.1  | 12    | 2    | 0.3    | 60    |
      | 68      | 0.3  | 24    | 2    | 10     | 120   |
      | 300     | 0.1  | 60    | 2    | 20     | 200   |

  Scenario Outline: Endpoints that crash by chance have no part refused
    Given <entries> entries that lose 0.1 of their news of crashes
    And <heads> endpoints that are back after <back> s
    When for 60 s <crashes> endpoints crash by chance <how> beside <sound> sound requests a second
    Then no sound request is refused

    Examples:
      | entries | heads | back | crashes | how       | sound |
      | 4       | 4     | 2    | 20      | singly    | 40    |
      | 4       | 4     | 10   | 12      | singly    | 5     |
      | 20      | 12    | 2    | 60      | at once   | 60    |
      | 1       | 2     | 1    | 40      | singly    | 1     |

  Scenario: A part is refused for all news that come in any order
    Given any reports of crashes, and of parts that were written on
    Then entries that have all of them refuse the same parts

  Scenario: A part that a run writes on later is no longer refused
    Given an entry that refuses a part that another entry refuses
    When a run of this entry writes on the part
    Then the entry does not refuse it, nor when the other one says so again

  Scenario: A refusal lasts as long as requests come for it
    Given an entry that refuses a part that another entry refuses
    When a request with it comes each 500 s for 3000 s
    Then each of them is refused
    And none is refused after 601 s without one

  Scenario: Two parts that always come together are refused only together
    Given three crashes under runs with two parts that were never apart
    Then a request with both is refused, and one with either is not
