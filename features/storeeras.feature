Feature: A store that returns from a copy
  A store restored from a backup is some seconds behind and issues revisions
  and lease ids a second time. Entries detect this by its changed era.

  Background:
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"
    And a ready entry "two" in "b"

  Scenario: Configurations confirmed after the return are in force in time
    Given the store makes a copy
    And other keys are written 48 times
    And the operator writes 4 further versions, in force on all entries
    When the store comes back from the copy after 1.0 s
    And the operator writes 1 further version
    Then the newest version is in force on all entries within 2.0 s

  Scenario: Entries are listed again and one leads after the return
    Given an empty copy of what entries wrote
    When the store comes back from the copy after 1.0 s
    Then all entries are listed within 2.0 s
    And one entry leads within 4.0 s, with a higher fence than before

  Scenario: An endpoint that left stays out after the return
    Given an endpoint leaves and another one drains, known to all entries
    When the store comes back from the copy after 1.0 s, not yet written again
    And callers call "/lists/x" on all entries for 3.0 s
    Then neither endpoint got a call
