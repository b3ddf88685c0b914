Feature: Which services share their capacity by priority and team
  Deployments with one priority for a service are served in order of arrival,
  as if nothing were shared.

  Scenario: Settings without a word on demand share where priorities differ
    When the demand settings are left out
    Then sharing is auto with a minimum share of 0.25, a reserve and stops by length

  Scenario Outline: A mistake in the demand settings names field, value and range
    When the demand settings are <text>
    Then they are refused with <message>

    Examples:
      | text                     | message                                                      |
      | {"sharing": "always"}    | sharing: expected one of "auto", "on", "off", got "always"   |
      | {"minimum_share": 0}     | minimum_share: expected a number above 0, at most 0.25, got 0 |
      | {"minimum_share": 0.3}   | minimum_share: expected a number above 0, at most 0.25, got 0.3 |
      | {"minimum_share": "0.1"} | minimum_share: expected a number, got "0.1"                  |
      | {"reserve": 1}           | reserve: expected true or false, got 1                       |
      | {"weights": {}}          | unknown field "weights"                                      |

  Scenario Outline: A service is contended if its requests differ in priority or weight
    Given rules for the services x and y with <terms>
    Then <contended> is contended

    Examples:
      | terms                                  | contended |
      | priority 1 each                        | neither   |
      | priorities 0 and 2 at x, 1 at y        | x         |
      | weights 1 and 3 at y, priority 1 each  | y         |
      | priority 1 each and a team of priority 0 | neither |
      | priority 1 each and teams of priorities 0 and 1 | both |
      | priorities 0 and 2 at x, 1 at y and a team of priority 1 | x |

  Scenario Outline: Rules decide among teams of equal priority
    Guards against teams of one priority that make all rules equally urgent.
    Given rules for the services x and y with <terms>
    Then requests for x have the priorities <priorities>

    Examples:
      | terms                                                    | priorities |
      | priorities 0 and 2 at x, 1 at y                          | 0 2        |
      | priorities 0 and 2 at x, 1 at y and a team of priority 1 | 0 1        |
      | priority 1 each and a team of priority 3                 | 3 3        |
      | priorities 0 and 2 at x, 1 at y and teams of priorities 0 and 1 | 0 1 2 3 |
      | priority 1 each and teams of priorities -2 and 1         | 0 0 1 1 |
      | priority 1 each and teams of priorities 70000 and 1      | 1 1 0 0 |

  Scenario Outline: Priorities are numbered anew only where a service is shared
    Guards against another order of the queue, or another priority at engines,
    where sharing is off.
    Given rules for the services x and y with <terms>
    When sharing is <sharing>
    Then requests for x are admitted with the priorities <priorities>

    Examples:
      | terms                                                    | sharing | priorities |
      | priorities 0 and 2 at x, 1 at y and a team of priority 1 | auto    | 0 1        |
      | priorities 0 and 2 at x, 1 at y and a team of priority 1 | off     | 1 1        |
      | priority 1 each and a team of priority 3                 | auto    | 3 3        |
      | priority 1 each and a team of priority 3                 | off     | 3 3        |

  Scenario Outline: Priorities are compared in short steps
    Guards against requests that wait while a configuration is prepared.
    Given a configuration of 1800 rules and 5600 teams of <count> priorities
    Then its rules are compared in steps of at most 0.1 s

    Examples:
      | count |
      | 4     |
      | 5600  |
