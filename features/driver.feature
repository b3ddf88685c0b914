Feature: The driver keeps an engine's batches short
  Long prompt spans that run together, or back to back, delay the short
  steps of other teams' streams.

  Scenario: Long spans run one at a time, and short ones go beside them
    Given a driver whose engine holds its calls
    When 3 spans of 1500 positions and 4 of 1 position become ready
    Then the engine has one long span and all short ones
    When the engine answers all its calls until the driver has nothing left
    Then each span has run once and no two long ones together

  Scenario Outline: Long spans leave time to short steps of <whom>
    Given a driver whose engine holds its calls
    When team "flood" has 2 long spans and <whom> has a short step
    And the engine answers its calls after 0.1 s
    Then the second long span begins <when>

    Examples:
      | whom            | when                    |
      | team "steady" | 0.3 s after the first   |
      | team "flood"  | as soon as it can       |
