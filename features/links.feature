Feature: Links between processes
  Guards against a slow link that is taken for a lost one, and against a
  silent link that stays in use.

  Scenario Outline: A large frame passes a slow link
    Given a link of 1 s silence through a relay
    When the relay passes 60000 bytes a second and the <side> sends 200000 bytes
    Then the other side gets them whole, in order, over the same link

    Examples:
      | side   |
      | dialer |
      | server |

  Scenario: A silent link is replaced
    Given a link of 1 s silence through a relay
    When the relay goes silent for the open connection
    Then both sides lose the link and a new one is up

  Scenario Outline: An idle link pings less often and is lost later
    Given the signs of life of a link with pings each 1 s and 3 s of silence
    When it carries work <work> and then runs for 60 s, heard until 30 s
    Then it has sent <pings> pings and counts as silent after <found> s

    Examples:
      | work             | pings    | found    |
      | never            | 18 to 21 | 35 to 36 |
      | each second      | 58 to 61 | 33 to 34 |
      | at 33 s          | 22 to 30 | 35 to 37 |
      | at 29 s          | 22 to 30 | 33 to 34 |

  Scenario: An idle agent reports its load less often, and any change at once
    Given an agent's load reports, made each second
    When it is idle for 10 s, has work for 4 s and is idle for 6 s
    Then the reports at 0, 3, 6, 9, 10, 11, 12, 13, 14 and 17 s are sent
