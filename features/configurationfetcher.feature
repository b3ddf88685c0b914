Feature: Reading a configuration from another entry
  Over real connections to the operators' port of an entry, or of a stand-in
  that behaves as one.

  Scenario: An entry sends its configuration compressed, with its revision
    Given an entry that has 4300 routes, as version 8 of revision 21
    When another entry with version 7 hears of it
    Then it has version 8 within 1 s
    And less than a tenth of the configuration's bytes were on the way
    And the store is read behind revision 21 only

  Scenario: An entry of a former build sends it as it is
    Given an entry of a former build that has 40 routes, as version 8
    When another entry with version 7 hears of it
    Then it has version 8 within 1 s

  Scenario: An entry that tells a newer version while it sends one is asked at once
    Given an entry that has version 9 while it sends version 8
    When another entry with version 7 hears of it
    Then it has version 9 within 0.4 s

  Scenario Outline: An entry that sends nothing sound is passed over
    Given an entry that <fault>, and one that has version 8
    When another entry with version 7 hears of both
    Then it has version 8 within 1.5 s

    Examples:
      | fault                        |
      | is busy                      |
      | is silent                    |
      | sends a part and stops       |
      | sends what can't be unpacked |
      | sends an older version       |
