Feature: Limits on retries that all hosts share
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

  Scenario Outline: a lender counts what hosts report
    Given a lender of <ratio> retries per request plus <fixed> within 10 s
    When a host reports <requests> requests and <retries> retries
    Then it is lent <others> retries for calls, then <streams> for streams

    Examples:
      | ratio | fixed | requests | retries | others | streams |
      | 0.5   | 0     | 100      | 0       | 50     | 0       |
      | 0.5   | 0     | 100      | 40      | 10     | 0       |
      | 0.5   | 8     | 100      | 0       | 54     | 4       |
      | 0.5   | 8     | 0        | 0       | 4      | 4       |
      | 0.5   | 8     | 0        | 10      | 0      | 0       |

  Scenario: a lender that follows another one lends only the ratio at first
    Given a lender of 0.5 retries per request plus 8 within 10 s that opens at 10 s
    When a host reports 4 requests and 0 retries
    Then it is lent 2 retries for calls, then 0 for streams
    And at 11 s it is lent 4 retries for calls, then 4 for streams

  Scenario Outline: without a lender each host has its part
    Given <hosts> hosts in <zones> zones share 37 retries for emergencies
    When each host tries to continue 5 streams
    Then between <least> and <most> of them go on

    Examples:
      | hosts | zones | least | most |
      | 7     | 3     | 25    | 37   |
      | 60    | 6     | 15    | 60   |
      | 195   | 6     | 15    | 60   |
      | 500   | 10    | 15    | 60   |

  Scenario: a lone host with all the failures gets what its zone may lend
    Given 195 hosts in 6 zones
    When one of them has 40 requests in 10 s and all of their sends fail
    Then at least 30 retries are made

  Scenario Outline: all hosts together stay inside the budget
    Given <hosts> hosts in <zones> zones
    When they play 8 random histories of <load>
    Then no window has more retries than 0.8 of the requests plus 150

    Examples:
      | hosts | zones | load                                             |
      | 7     | 3     | a failing service                                |
      | 60    | 6     | a failing service                                |
      | 195   | 6     | a failing service                                |
      | 500   | 10    | a failing service                                |
      | 195   | 6     | a failing service with one busy zone             |
      | 195   | 6     | a failing service with one busy host             |
      | 195   | 6     | a failing service whose lenders die and freeze   |
      | 195   | 6     | a failing service whose hosts restart            |
      | 195   | 6     | a service that fails after a calm time           |
      | 500   | 10    | a failing service whose lenders die and freeze   |
