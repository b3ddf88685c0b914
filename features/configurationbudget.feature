Feature: The time of a configuration is divided among its steps
  From the acknowledgement to the first request handled by it one budget
  holds, for versions up to a size over links of a width.

  Scenario Outline: The steps of a configuration fit its bound
    Then with a bound of <bound> s batch pause, connection, transfer and reserve take <bound> s
    And <value> bytes of a value fit a link of <width> Mbit/s

    Examples:
      | bound | width | value   |
      | 2     | 10    | 650000  |
      | 2     | 20    | 1048576 |
      | 3     | 10    | 1048576 |
      | 4     | 10    | 1048576 |
      | 4     | 7     | 1048576 |

  Scenario Outline: The tighter bound divides the time of a watch
    Then with a drain time of <drain> s and a bound of <bound> s a watch is as with <as> s

    Examples:
      | drain | bound | as |
      | 3     | 3     | 3  |
      | 4     | 2     | 2  |
      | 2     | 4     | 2  |

  Scenario Outline: An entry that nobody tells has the largest version in time
    Given an entry alone behind a link of <width> Mbit/s with a bound of <bound> s
    When <count> versions of <size> bytes are written at the worst moments
    Then each last one is in force within 0.8 of the bound

    Examples:
      | bound | width | size    | count |
      | 2     | 10    | 650000  | 1     |
      | 2     | 20    | 1000000 | 4     |
      | 3     | 10    | 1000000 | 1     |
      | 3     | 10    | 500000  | 4     |
      | 4     | 10    | 1000000 | 1     |
      | 4     | 10    | 800000  | 4     |
