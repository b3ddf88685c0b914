Feature: Decoding one configuration after another
  A large configuration is decoded beside serving: in short steps, and only
  what the version before lacks.

  Scenario: A decoder gives what a fresh one gives, whatever it decoded before
    When one decoder decodes any series of versions
    Then each version is the same as from a fresh decoder

  Scenario Outline: A change of a few routes builds these routes only
    Given a decoder that has decoded <routes> routes
    When a version with 3 routes more is decoded
    Then 3 rules are built and 3 are compiled
    And no step builds more than 200 rules

    Examples:
      | routes |
      | 1700   |
      | 4000   |
      | 4200   |
      | 5000   |

  Scenario: Streams go on while a large configuration is decoded
    Given a task that counts turns of the event loop
    When a configuration of 4300 new routes is loaded
    Then the task had 40 turns at least meanwhile
    And the configuration is in force
