Feature: Configuration data classes

  Scenario: The endpoints of a zone out of service are out of service
    Given an endpoint in zone "a" on VM "vm-1"
    When zone "a" is marked out of service
    Then the endpoint is not in service
