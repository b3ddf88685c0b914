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

  Scenario Outline: Endpoints that leave get nothing late beside lost answers
    When endpoints leave for <seconds> seconds with seed <seed> and answers are lost
    Then no promise was broken in the soak of at least <least> requests
    And the leaving of at least <drains> endpoints was checked

    Examples:
      | seed | seconds | least | drains |
      | 1    | 10      | 50    | 8      |

  Scenario Outline: Parts that crash engines are found beside other faults
    When parts crash engines for <seconds> seconds with seed <seed> beside other faults
    Then no promise was broken in the soak of at least <least> requests
    And engines crashed <crashes> times or more by such parts

    Examples:
      | seed | seconds | least | crashes |
      | 1    | 15      | 50    | 5       |

  Scenario Outline: What belongs to no request harms none beside other faults
    When endpoints send what belongs to no request for <seconds> seconds with seed <seed>
    Then no promise was broken in the soak of at least <least> requests

    Examples:
      | seed | seconds | least |
      | 1    | 10      | 50    |

  Scenario Outline: Large configurations are in force in time and hold up nothing
    When large configurations come for <seconds> seconds with seed <seed> and answers are lost
    Then no promise was broken in the soak of at least <least> requests
    And at least <versions> versions were checked by <probes> probes

    Examples:
      | seed | seconds | least | versions | probes |
      | 5    | 10      | 50    | 10       | 100    |

  Scenario Outline: No priority starves beside waves of load and after faults
    When priorities and teams compete for <seconds> seconds with seed <seed> beside faults
    Then no promise was broken in the soak of at least <least> requests
    And at least <windows> windows without a fault were checked

    Examples:
      | seed | seconds | least | windows |
      | 1    | 12      | 500   | 3       |

  Scenario Outline: Nothing is lost at entries that stop in turn
    When entries stop in turn for <seconds> seconds with seed <seed> under work of all lengths
    Then no promise was broken in the soak of at least <least> requests
    And entries stopped at least <stops> times

    Examples:
      | seed | seconds | least | stops |
      | 1    | 12      | 50    | 2     |
      | 2    | 12      | 50    | 4     |

  Scenario Outline: The soak tells a priority that starves from one that does not
    Given streams of three priorities in 6 s, of which 0 and 1 complete half
    When <part> of the streams of priority 2 complete
    Then <count> of the windows without a fault tell that priority 2 starves

    Examples:
      | part | count |
      | 0.0  | all   |
      | 0.05 | all   |
      | 0.25 | none  |

  Scenario Outline: No process takes more than its memory, and small calls pass
    When callers and endpoints make entries hold what they may for <seconds> seconds with seed <seed>
    Then no promise was broken in the soak of at least <least> requests

    Examples:
      | seed | seconds | least |
      | 1    | 20      | 200   |
