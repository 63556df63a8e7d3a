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
