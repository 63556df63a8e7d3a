Feature: Failed attempts of calls are retried within limits
  Scenario Outline: a failed attempt is retried only where that is safe
    Given a call that <may> be repeated
    When its attempts end: <outcomes>
    Then <attempts> were made and the caller gets <end>

    Examples:
      | may     | outcomes                           | attempts | end          |
      | may not | may_have_run                       | 1        | may_have_run |
      | may not | 500                                | 1        | answer       |
      | may not | not_run 201                        | 2        | answer       |
      | may not | not_run may_have_run               | 2        | may_have_run |
      | may not | not_run not_run not_run not_run not_run | 5   | not_run      |
      | may     | may_have_run 200                   | 2        | answer       |
      | may     | 503 503 503 503 503                | 5        | answer       |
      | may     | not_run may_have_run late          | 3        | may_have_run |

  Scenario: retries stay within the budget when every attempt fails
    Given a call that may be repeated
    When 5000 calls fail in every attempt
    Then attempts stay below 1.2 per call

  Scenario Outline: only plain paths are matched by prefix
    Then <method> <path> <may> be repeated

    Examples:
      | method | path                   | may     |
      | GET    | /purchases             | may     |
      | POST   | /lookups/a             | may     |
      | POST   | /lookups?x=1           | may     |
      | POST   | /lookupsx              | may not |
      | POST   | /purchases             | may not |
      | POST   | /lookups/../purchases  | may not |
      | POST   | /lookups/%2e%2E/buy    | may not |
      | POST   | /lookups/..%2Fbuy      | may not |

  Scenario: a failing server is ejected and readmitted by one probe
    Then outcomes at times give
      | at  | event   | ejected |
      | 0   | failed  | no      |
      | 0.1 | failed  | no      |
      | 0.2 | failed  | yes     |
      | 2.1 | none    | yes     |
      | 2.3 | none    | no      |
      | 2.3 | started | yes     |
      | 2.4 | failed  | yes     |
      | 4.5 | started | yes     |
      | 4.6 | finished | no     |
