Feature: The edge role under series of faults
  Guards against lost, repeated or stuck requests when faults overlap. This is
  a short soak with a fixed seed; longer ones are run by hand.

  Scenario Outline: No promise is broken under overlapping faults
    When the edge role is soaked for <seconds> seconds with seed <seed>
    Then no promise was broken in the soak of at least <least> requests

    Examples:
      | seed | seconds | least |
      | 1    | 8       | 50    |
      | 2    | 8       | 50    |
