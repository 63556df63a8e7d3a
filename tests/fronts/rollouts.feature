Feature: Roll-outs by order of the operator, with real processes
  Background:
    Given a platform with 3 desks of v1 in each of two zones
    And fronts f1, f2 in north-1 and f3 in north-2 that allow roll-outs

  Scenario: a good version gets all requests by its deadline
    When lookups are sent to all fronts
    And v2 is ordered within 10 s and its desks come
    Then the status is done within 10.3 s of the order
    And v2 got at most 0.2 of the requests and 20 until the deadline
    And after a second only v2 is sent requests
    And no caller got an error

  Scenario: a version that fails is rolled back
    When lookups are sent to all fronts
    And desks of v2 answer 0.6 of the requests with a failure
    And v2 is ordered within 10 s and its desks come
    Then the status is rolled_back within 9 s of the order
    And v2 got at most 0.2 of the requests and 20 until the deadline
    And after a second only v1 is sent requests

  Scenario: a version that is several times slower is rolled back
    When lookups are sent to all fronts
    And desks of v2 take 6 times as long
    And v2 is ordered within 10 s and its desks come
    Then the status is rolled_back within 9 s of the order
    And after a second only v1 is sent requests

  Scenario Outline: the deciding host is lost at a step
    When lookups are sent to all fronts
    And <how>
    And v2 is ordered within 12 s and its desks come
    And the deciding front is <lost> when the stage is <stage>
    Then the status is <end> within 14 s of the order
    And v2 got at most 0.2 of the requests and 20 until the deadline
    And after a second only <left> is sent requests

    Examples:
      | how                                                     | lost   | stage  | end         | left |
      | desks of v2 are as good as the others                   | killed | trial  | done        | v2   |
      | desks of v2 are as good as the others                   | frozen | trial  | done        | v2   |
      | desks of v2 are as good as the others                   | killed | moving | done        | v2   |
      | desks of v2 answer 0.5 of the requests with a failure   | killed | trial  | rolled_back | v1   |

  Scenario: the store is away in the middle
    When lookups are sent to all fronts
    And desks of v2 answer 0.5 of the requests with a failure
    And v2 is ordered within 12 s and its desks come
    And the store is away for 3 s when the stage is trial
    Then the status is rolled_back within 14 s of the order
    And after a second only v1 is sent requests

  Scenario: something else writes the row of the steps
    When lookups are sent to all fronts
    And the row of the steps is written by something else
    And v2 is ordered within 12 s and its desks come
    And the row of the steps is written by something else when the stage is trial
    Then the status is done within 13 s of the order
    And v2 got at most 0.2 of the requests and 20 until the deadline
    And after a second only v2 is sent requests
    And a front has logged and counted the row

  Scenario: an order that is withdrawn stops the trial
    When lookups are sent to all fronts
    And v2 is ordered within 30 s and its desks come
    And the command line lists it when the stage is trial
    And the order is withdrawn when the stage is trial
    Then after a second only v1 is sent requests

  Scenario: orders that cannot be carried out change nothing
    When lookups are sent to all fronts
    And orders are written that cannot be read or name an unknown service
    Then the desks of v1 go on and each bad order is logged once at each front

  Scenario: streams of the old version are finished or go on with it
    When desks of v1 are engines of streams
    And streams are sent to all fronts
    And v2 is ordered within 12 s and its engines come
    Then the status of the engines is done within 12.3 s of the order
    And no stream has events of two versions
