Feature: Requests that crash engines and come again
  Background:
    Given a platform with 6 engines in two zones that crash on a request

  Scenario Outline: a request that crashes engines soon reaches none of them
    Given fronts f1, f2 in north-1 and f3, f4 in north-2
    When the request comes as <kind> every <period> s for 14 s, beside sound <kind>
    Then no more than 3 of them reached engines later than 4 s after the third crash
    And nine in ten of the sound ones sent later than that were served

    Examples:
      | kind    | period |
      | lookups | 0.25   |
      | lookups | 2      |
      | orders  | 0.25   |
      | orders  | 2      |
      | streams | 0.25   |
      | streams | 2      |

  Scenario Outline: a request whose callers leave before it crashes engines soon reaches none of them
    Given fronts f1, f2 in north-1 and f3, f4 in north-2
    When the request comes as <kind> every 0.25 s for 14 s from callers that leave at once, beside sound <kind>
    Then no more than 3 of them reached engines later than 4 s after the third crash
    And nine in ten of the sound ones sent later than that were served

    Examples:
      | kind    |
      | lookups |
      | orders  |
      | streams |

  Scenario: a request whose callers leave crashes engines that nobody else uses
    Given fronts f1, f2 in north-1 and f3, f4 in north-2
    When the request comes alone as orders every 2.5 s for 20 s from callers that leave at once
    Then no more than 3 of them reached engines later than 4 s after the third crash

  Scenario: fronts that are killed and restarted know the request
    Given fronts f1, f2 in north-1 and f3, f4 in north-2
    When the request comes as lookups every 0.25 s for 5 s, beside sound lookups
    And all fronts are killed and restarted
    And the request comes as lookups every 0.25 s for 5 s, beside sound lookups
    Then no engine has crashed since the restart
    And nine in ten of the sound ones sent since the restart were served

  Scenario: a front that was frozen meanwhile knows the request when it wakes
    Given fronts f1, f2 in north-1 and f3, f4 in north-2
    When f4 is frozen
    And the request comes as orders at f1, f2, f3 every 0.25 s for 5 s
    And f4 wakes for 3 s
    Then the request at f4 is refused as not run

  Scenario: fronts of a zone that is cut off from the store share the request
    Given fronts f1, f2 in north-1 behind links to the store
    When the zone is cut off from the store
    And the request comes as orders at f1 until it is refused there
    Then within 1 s the request at f2 is refused as not run
    When the zone reaches the store again
    Then within 8 s the request at a new front f3 in north-2 is refused as not run

  Scenario: an operator releases a request that crashes engines no more
    Given fronts f1, f2 in north-1 and f3, f4 in north-2
    When the request comes as orders at f1 until it is refused there
    Then the command line lists one request as quarantined
    When the engines are mended and the command line releases the request
    Then within 2 s the request is served at each front
