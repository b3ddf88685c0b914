Feature: Revisions of the configuration in the store
  A document is stored as chunks under one head, so that an edit writes
  only the chunks that it changes.

  Scenario: Any document comes back from its chunks
    Then any document of named items joins from its chunks unchanged

  Scenario: One new rule changes one or two chunks of many
    Given a stored document of 5600 teams and 10000 rules
    When a rule is put in at position 3
    Then 1 to 2 chunks are new
    And the new head follows the old one and knows both changes
    And the difference of the documents has 1 added and 0 removed lines

  Scenario: A missing or altered chunk is never taken for the document
    Given a stored document of 200 teams and 200 rules
    Then leaving out a chunk is reported with its digest
    And an altered chunk is reported as damage
    And bytes that are no head are reported as damage
