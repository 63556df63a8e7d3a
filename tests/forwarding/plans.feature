Feature: Retry plans and retry budgets
  Scenario Outline: a request is retried only if that is safe
    Given a request that is <policy> and may be sent to <attempts> servers
    When its sends end: <outcomes>
    Then the caller gets <end>

    Examples:
      | policy         | attempts | outcomes                        | end    |
      | idempotent     | 2        | answered-200                    | 200    |
      | idempotent     | 2        | answered-500 answered-200       | 200    |
      | idempotent     | 2        | answered-500 answered-500       | 500    |
      | idempotent     | 2        | lost lost                       | 502    |
      | idempotent     | 2        | lost refused refused refused refused | 502 |
      | idempotent     | 2        | answered-404                    | 404    |
      | non-idempotent | 1        | answered-500                    | 500    |
      | non-idempotent | 1        | lost                            | 502    |
      | non-idempotent | 1        | refused answered-200            | 200    |
      | non-idempotent | 1        | refused lost                    | 502    |
      | non-idempotent | 1        | refused refused refused refused | 503    |
      | non-idempotent | 1        | unreached unreached unreached unreached unreached answered-200 | 200 |
      | single stream  | 3        | lost                            | 502    |
      | stream         | 5        | lost lost refused finished      | done   |
      | stream         | 2        | lost lost                       | 502    |

  Scenario Outline: no other server can take the request
    Given a request that is idempotent and may be sent to 3 servers
    When its sends end: <outcomes>
    And no other server is available
    Then the caller gets <end>

    Examples:
      | outcomes | end |
      | refused  | 503 |
      | lost     | 502 |
      | answered-500 | 500 |
      | answered-500 lost | 502 |

  Scenario Outline: silence ends a send only if the request may be sent again
    Given a request that is <policy> and may be sent to <attempts> servers
    Then a silent send is <end>

    Examples:
      | policy        | attempts | end   |
      | stream        | 5        | ended |
      | stream        | 1        | kept  |
      | single stream | 5        | kept  |

  Scenario: nothing is sent if too little time remains
    Given a request that is idempotent and may be sent to 2 servers
    When its sends end with 0.01 s left: lost
    Then the caller gets 502

  Scenario: many failures use no more retries than the budget allows
    Given a budget of 0.5 retries per request plus 10 within 10 s
    When 1000 requests that each need a retry arrive within 5 s
    Then 510 retries are allowed
    And at 20 s a retry is allowed again

  Scenario: a stream in progress may use more retries than other requests
    Given a budget of 0 retries per request plus 10 within 10 s
    When 10 retries have been made
    Then a request is not retried
    And a stream in progress is retried 10 times
