Feature: Bytes that never end spoil no stream and no entry
  As in endlessanswers, for streams and for the answers of the store.

  Scenario Outline: <kind> in a stream
    Guards against an entry that grows past the memory of its machine, and
    against streams that are not taken up elsewhere.
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"
    And one engine with the first layer answers with <kind> that never end
    When callers send 10 streams of 20 events a second for 4 s
    Then each stream ends <result>
    And the entry has taken at most 128 MB

    Examples:
      | kind                      | result       |
      | header lines              | whole        |
      | one event                 | whole        |
      | comments                  | whole        |
      | a chunk extension         | whole        |
      | answers to other requests | whole        |
      | one header                | whole        |
      | a reason                  | whole        |
      | interim answers           | whole        |
      | a body to another request | whole        |
      | trailers                  | whole        |
      | small chunks              | whole        |
      | one event again and again | whole or cut |
      | events                    | whole or cut |

  Scenario Outline: <kind> from the store
    Given a platform with engines and services in failure domains "a" and "b"
    And a ready entry "one" in "a"
    And the store answers with <kind> that never end
    When callers send 20 calls a second of "/lists/x" and of "/orders/x" for 4 s
    Then each call of "/lists/x" ends whole
    And the entry has taken at most 128 MB

    Examples:
      | kind         |
      | header lines |
      | chunks       |
