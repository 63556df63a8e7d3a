Feature: The settings reference
  Scenario: the page for operators shows the settings as they are checked
    When the reference is printed
    Then it equals docs/settings.ini
    And it loads once the required keys are filled in

  Scenario: the page for fronts shows the settings as they are checked
    When the reference of fronts is printed
    Then it equals docs/front.ini
    And it loads as settings of a front once the required keys are filled in

  Scenario: the template of the deployment names known keys only
    When the template of the deployment is filled in
    Then it loads as settings of a front
