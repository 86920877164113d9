Feature: Execution guarantees to callers
  A request that is not idempotent runs at most once. An answer that states "not-run"
  is certain: the request did not run. A booking is a request that is not idempotent, a
  query is one that is. Run state "none" means that the answer does not state any.

  Scenario Outline: A booking is retried only if it did not run
    Given an instance that <fault> and a healthy one in another zone
    When a booking is sent
    Then the answer has status <status> and run state <ran>
    And the booking ran <runs> times

    Examples:
      | fault                | status | ran     | runs |
      | refuses connections  | 200    | none    | 1    |
      | sheds                | 200    | none    | 1    |
      | answers 500          | 500    | unknown | 1    |
      | resets               | 502    | unknown | 1    |
      | is silent            | 504    | unknown | 1    |
      | answers garbage      | 502    | unknown | 1    |

  Scenario Outline: A query is retried after every fault
    Given an instance that <fault> and a healthy one in another zone
    When a query is sent
    Then the answer has status 200 and run state none

    Examples:
      | fault               |
      | refuses connections |
      | sheds               |
      | answers 500         |
      | resets              |
      | is silent           |
      | answers garbage     |

  Scenario: A booking that every instance sheds is reported as not run
    Given two instances that shed
    When a booking is sent
    Then the answer has status 503 and run state not-run
    And the booking ran 0 times

  Scenario: A query whose first attempt may have run is not reported as not run
    Given an instance that resets and one that refuses connections
    When a query is sent
    Then the answer has status 503 and run state unknown
