Feature: Prompt parts that crash engines, at many hosts
  Scenario Outline: a part reaches few engines at any number of hosts
    Given <hosts> hosts in <zones> zones before <engines> engines
    When requests with <bad> crashing parts come <rate> times a second for 40 s, beside 8 sound ones
    Then at most 3 of them for each part reach engines later than 4 s after the fifth crash
    And at most <crashes> engines crash for each part
    And most sound requests sent later than 8 s begin at the first attempt

    Examples:
      | hosts | zones | engines | bad | rate | crashes |
      | 3     | 1     | 9       | 1   | 2    | 12      |
      | 7     | 3     | 9       | 1   | 2    | 12      |
      | 7     | 3     | 9       | 2   | 6    | 12      |
      | 60    | 6     | 60      | 1   | 2    | 12      |
      | 60    | 6     | 60      | 3   | 9    | 12      |
      | 500   | 10    | 500     | 1   | 2    | 12      |
      | 500   | 10    | 500     | 3   | 9    | 12      |

  Scenario: all hosts restart while such requests come
    Given 7 hosts in 3 zones before 9 engines
    When all hosts restart at 20 s
    And requests with 1 crashing parts come 2 times a second for 40 s, beside 8 sound ones
    Then at most 3 of them for each part reach engines later than 4 s after the fifth crash

  Scenario: a zone is cut off from the store
    Given 60 hosts in 6 zones before 60 engines
    When zone 2 is cut off from the store for 30 s
    And requests with 1 crashing parts come 6 times a second for 40 s, beside 8 sound ones
    Then at most 24 engines crash for each part
