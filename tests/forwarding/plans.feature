Feature: What follows a send, by what may be repeated
  Scenario Outline: a request is sent again only where that can do no harm
    Given a request that is <policy> and may be sent to <most> servers
    When its sends end: <outcomes>
    Then the caller gets <end>

    Examples:
      | policy         | most | outcomes                        | end    |
      | idempotent     | 2    | answered-200                    | 200    |
      | idempotent     | 2    | answered-500 answered-200       | 200    |
      | idempotent     | 2    | answered-500 answered-500       | 500    |
      | idempotent     | 2    | lost lost                       | 502    |
      | idempotent     | 2    | lost refused refused refused refused | 502 |
      | idempotent     | 2    | answered-404                    | 404    |
      | non-idempotent | 1    | answered-500                    | 500    |
      | non-idempotent | 1    | lost                            | 502    |
      | non-idempotent | 1    | refused answered-200            | 200    |
      | non-idempotent | 1    | refused lost                    | 502    |
      | non-idempotent | 1    | refused refused refused refused | 503    |
      | non-idempotent | 1    | unreached unreached unreached unreached unreached answered-200 | 200 |
      | single stream  | 3    | lost                            | 502    |
      | stream         | 5    | lost lost refused finished      | done   |
      | stream         | 2    | lost lost                       | 502    |

  Scenario Outline: nobody can take it
    Given a request that is idempotent and may be sent to 3 servers
    When its sends end: <outcomes>
    And no server is left
    Then the caller gets <end>

    Examples:
      | outcomes | end |
      | refused  | 503 |
      | lost     | 502 |
      | answered-500 | 500 |
      | answered-500 lost | 502 |

  Scenario Outline: silence ends a send only where another may follow
    Given a request that is <policy> and may be sent to <most> servers
    Then a silent send is <given up>

    Examples:
      | policy        | most | given up |
      | stream        | 5    | given up |
      | stream        | 1    | kept     |
      | single stream | 5    | kept     |

  Scenario: nothing is sent when there is no time left
    Given a request that is idempotent and may be sent to 2 servers
    When its sends end with 0.01 s left: lost
    Then the caller gets 502

  Scenario: a storm of failures spends only the budget
    Given a budget of 0.5 retries a request and 10 beside, over 10 s
    When 1000 requests of which each wants a retry come within 5 s
    Then 510 retries are allowed
    And after 20 s a retry is allowed again

  Scenario: a stream under way is not broken off for the budget's first part
    Given a budget of 0 retries a request and 10 beside, over 10 s
    When 10 retries were taken
    Then a request is not retried
    And a stream under way is, 10 times
