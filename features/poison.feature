Feature: Quarantine of requests that crash endpoints
  Guards against a request that crashes one endpoint after another, and
  against the refusal of other requests that ran beside it.

  Scenario: The culprits are found and nobody else is
    Given requests of three teams, a few of which crash what runs them
    Then each costs at most 3 crashes and all others run to the end

  Scenario: A team whose requests crash endpoints accuses no other
    Given a team that has crashed 3 endpoints with different requests
    Then its new requests run alone until one has run
    And those of another team run in batches

  Scenario: A quarantine ends
    Given a request that crashed two endpoints alone
    Then it is quarantined until the crashes are forgotten

  Scenario Outline: A prompt that crashes a later stage is stopped too
    Given a deployment whose crashed engines, reached directly, are started again
    When a team sends a prompt that crashes the <stage> stage 10 times among others' streams
    Then at most 3 engines crashed, and the last sends were refused
    And the others' streams are the reference answers
    And every entry shows the quarantine until it ends

    Examples:
      | stage  |
      | middle |
      | last   |

  Scenario Outline: A poison prompt is stopped at every entry
    Given a deployment whose crashed engines, <reached>, are started again
    When a team sends a crashing prompt 10 times among others' streams
    Then at most 3 engines crashed, and the last sends were refused
    And the others' streams are the reference answers
    And every entry shows the quarantine until it ends

    Examples:
      | reached                    |
      | reached directly           |
      | reached through forwarders |
