Feature: A tunnel carries a connection to an endpoint through a peer

  Scenario: The orderly end of a connection goes through a tunnel
    Given a tunnel to an endpoint that sends 200000 bytes and closes
    When the bytes are read through the tunnel
    Then all 200000 bytes came and the end was orderly

  Scenario: A reset goes through a tunnel as a reset
    Given a tunnel to an endpoint that sends 5000 bytes and resets
    When the bytes are read through the tunnel
    Then the connection was reset

  # Guards against a reset that only the task that sends to the endpoint sees.
  Scenario: A reset during an upload goes through a tunnel whose reader is late
    Given a tunnel to an endpoint that sends for 0.5 seconds and resets
    When 20000000 bytes are sent, and the tunnel is read a second later
    Then the connection was reset

  Scenario: The loss of the peer does not look like the end of the answer
    Given a tunnel to an endpoint that sends 5000 bytes and waits
    When the peer ends while the bytes are read through the tunnel
    Then the connection was reset

  Scenario: A reader that stops holds the endpoint back
    Given a tunnel to an endpoint that sends 50000000 bytes and closes
    When nothing is read from the tunnel for 1 second
    Then the endpoint could send no more than 20000000 bytes

  Scenario: A client that closes its end closes the connection to the endpoint
    Given a tunnel to an endpoint that sends 5000 bytes and waits
    When the tunnel is closed
    Then the endpoint's connection is closed within 0.5 seconds

  Scenario: An answer comes through although the endpoint reads no more
    Given a tunnel to an endpoint that sends 5000 bytes and waits
    When 300000 bytes are sent while the endpoint reads none
    Then 5000 bytes came

  # Guards against a reader that waits for a writer which is held up.
  Scenario: An answer comes through while an upload is held up
    Given a tunnel to an endpoint that sends 5000 bytes after 0.3 seconds and waits
    When 4000000 bytes are sent while the endpoint reads none
    Then 5000 bytes came

  Scenario Outline: A tunnel that cannot be opened says why: <case>
    Given a peer that <case>
    When a tunnel is requested from it
    Then the request fails as <failure>

    Examples:
      | case                        | failure     |
      | reaches no such endpoint    | refused     |
      | gets no answer              | unreachable |
      | does not know the endpoint  | rejected    |
      | has too many tunnels        | rejected    |
      | is not there                | rejected    |
