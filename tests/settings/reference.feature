Feature: The settings reference
  Scenario: the page for operators matches the settings models
    When the reference is printed
    Then it equals docs/settings.ini
    And it loads once the required keys are filled in

  Scenario: the page for fronts matches the settings models
    When the reference of fronts is printed
    Then it equals docs/front.ini
    And it loads as settings of a front once the required keys are filled in

  Scenario: the deployment template has only known keys
    When the deployment template is filled in
    Then it loads as settings of a front
