Feature: What callers are promised
  A request that must not repeat runs at most once, and a caller that is told
  "not run" can rely on it.

  Scenario Outline: A booking is attempted again only where it did not run
    Given an instance that <fault> and a healthy one in another zone
    When a booking is sent
    Then the answer has status <status> and says <ran>
    And the booking ran <runs> times

    Examples:
      | fault                | status | ran     | runs |
      | refuses connections  | 200    | nothing | 1    |
      | sheds                | 200    | nothing | 1    |
      | answers 500          | 500    | unknown | 1    |
      | resets               | 502    | unknown | 1    |
      | is silent            | 504    | unknown | 1    |
      | answers garbage      | 502    | unknown | 1    |

  Scenario Outline: A query is attempted again whatever happened
    Given an instance that <fault> and a healthy one in another zone
    When a query is sent
    Then the answer has status 200 and says nothing

    Examples:
      | fault               |
      | refuses connections |
      | sheds               |
      | answers 500         |
      | resets              |
      | is silent           |
      | answers garbage     |

  Scenario: A booking that every instance sheds was not run
    Given two instances that shed
    When a booking is sent
    Then the answer has status 503 and says not-run
    And the booking ran 0 times

  Scenario: A query whose first attempt may have run is never called not run
    Given an instance that resets and one that refuses connections
    When a query is sent
    Then the answer has status 503 and says unknown
