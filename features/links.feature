Feature: Links between processes
  A link that is silent is lost; one that is slow is not.

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
