Feature: Calls that may not be repeated run at most once
  Runs real processes.  After each scenario the records of the backend servers
  are checked: no item ran twice, and no call answered not_run was run.
  x and y are items to purchase, k, m and n are idempotency keys.

  Background:
    Given a platform, a backend server s1 and hosts a and b

  Scenario Outline: a reused connection that closes after reading
    Given lookups went through a
    And s1 has close_after_read 1
    Then a <method> of x ends may_have_run
    And s1 received 1 more call
    And x ran 0 times

    Examples:
      | method |
      | POST   |
      | DELETE |

  Scenario: no backend server accepts the call, a later repeat runs
    Given s1 has refuse 1
    Then these calls end as listed
      | host | key | item | end     |
      | a    | k   | x    | not_run |
    Given s1 has refuse 0
    Then these calls end as listed
      | host | key | item | end |
      | b    | k   | x    | 201 |
    And x ran 1 times

  Scenario: a call to a dead backend server is not run
    Given s1 is killed
    Then these calls end as listed
      | host | key | item | end     |
      | a    |     | x    | not_run |

  Scenario: a repeat gets the recorded answer, another call is refused
    Then these calls end as listed
      | host | key | item | end        |
      | a    | k   | x    | 201        |
      | b    | k   | x    | 201        |
      | a    | k   | y    | key_reused |
    Given a is killed
    Then these calls end as listed
      | host | key | item | end |
      | b    | k   | x    | 201 |
    And x ran 1 times

  Scenario: two hosts race on one key
    When 12 calls with key k for x are sent to a and b at once
    Then all end 201
    And x ran 1 times

  Scenario: the platform's answer is lost after the claim was written
    Given platform has lose_answer_after_write 1
    Then these calls end as listed
      | host | key | item | end |
      | a    | k   | x    | 201 |
    And x ran 1 times

  Scenario: the platform is down and back again
    Given platform has down 1
    Then these calls end as listed
      | host | key | item | end     |
      | a    | k   | x    | not_run |
      | b    | k   | x    | not_run |
    Given platform has down 0
    Then these calls eventually end as listed
      | host | key | item | end |
      | b    | k   | x    | 201 |
    And x ran 1 times

  Scenario: the platform writes the claim after the caller received not_run
    Given platform has slow_ms 2600
    Then these calls end as listed
      | host | key | item | end     |
      | a    | k   | x    | not_run |
    Given platform has slow_ms 0
    And the claim is written nevertheless
    Then these calls eventually end as listed
      | host | key | item | end |
      | b    | k   | x    | 201 |
    And x ran 1 times

  Scenario: a host is killed between claim and send
    Given a host c behind a platform link of 400 ms
    When c is killed once its claim on k for x is written
    Then these calls end as listed
      | host | key | item | end          |
      | b    | k   | x    | may_have_run |
    And x ran 0 times

  Scenario: a host is killed between send and answer
    Given s1 has late_ms 400
    When a is killed once s1 received its call with k for x
    Then these calls end as listed
      | host | key | item | end          |
      | b    | k   | x    | may_have_run |
    And x ran 1 times

  Scenario: a minted key needs no platform, and is lost with its host
    Given a minted two keys m and n
    And platform has down 1
    Then these calls eventually end as listed
      | host | key | item | end |
      | b    | m   | x    | 201 |
      | a    | m   | x    | 201 |
    Given a is killed
    Then these calls end as listed
      | host | key | item | end          |
      | b    | m   | x    | may_have_run |
      | b    | n   | y    | may_have_run |
    And x ran 1 times
    And y ran 0 times

  Scenario: a refusal by contract goes to another backend server
    Given another backend server s2
    And s1 has refuse 1
    Then these calls end as listed
      | host | key | item | end |
      | a    |     | x    | 201 |
      | a    | k   | y    | 201 |
    And x ran 1 times

  Scenario: a purchase runs and its answer is cut off
    Given another backend server s2
    And s1 has close_after_run 1
    And s2 has close_after_run 1
    Then these calls end as listed
      | host | key | item | end          |
      | a    |     | x    | may_have_run |
    And x ran 1 times
