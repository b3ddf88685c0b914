Feature: A claim binds a key to one executor for good
  Two executors for one idempotency key would run the request twice: after
  a race between writers, a lost answer of the store, a late release or the
  failure of a bucket's owner.

  Scenario: Writers that race for the same keys agree on every executor
    Given 3 claim writers on one store
    When each writer binds the same 40 keys at once
    Then every key has one executor in all answers

  Scenario: A claim whose answer was lost is found, not made again
    Given 2 claim writers on one store
    And the claim store loses the next 2 answers
    When the first writer binds key "a" to "agent-1"
    Then the second writer finds key "a" bound to "agent-1"
    And the store holds one claim of key "a"

  Scenario: Many waiting claims share a transaction
    Given 1 claim writer on one store
    When the writer binds 200 keys from 100 threads with a slow store
    Then the claim transactions are at most 40

  Scenario: A key used for other content is refused
    Given 2 claim writers on one store
    When the first writer binds key "a" to "agent-1"
    Then the second writer is refused key "a" for other content

  Scenario: Only the attempt that never ran can be released
    Given 2 claim writers on one store
    When the first writer binds key "a" to "agent-1"
    And a claim of key "a" by another attempt is released
    Then the second writer finds key "a" bound to "agent-1"
    When the claim of key "a" is released
    And the second writer releases the claim that it still knows
    Then the second writer can bind key "a" to "agent-2"
    And the first writer finds key "a" bound to "agent-2"

  Scenario: While the store is down nothing is bound
    Given 1 claim writer on one store
    And the claim store is down
    Then binding key "a" within 0.5 seconds fails
    When the claim store is back
    Then the first writer can bind key "a" to "agent-1"

  Scenario: A writer that starts late reads every page of claims
    Given 1 claim writer on one store that reads 3 segments a page
    When the first writer binds 30 keys one by one
    And another writer joins
    Then the second writer finds all 30 keys

  Scenario: A bucket forgets claims past their retention and no others
    Given a bucket with claims kept for 60, 600 and 6000 seconds
    When 700 seconds have passed for the bucket
    Then the bucket knows only the claim kept for 6000 seconds

  Scenario: An owner that dies leaves its buckets to the others
    Given 3 claim writers on one store that send claims to their owners
    When each writer binds the same 40 keys at once
    Then every key has one executor in all answers
    And no claim writer has met a conflict
    When every writer is told of the other owners
    Then the writers together start at most 200 commits a second
    When the first owner dies
    And each writer but the first binds the same 40 keys at once
    Then every key has the same executor as before
