Feature: HTTP server and client over loopback

  Background:
    Given an HTTP server on a free port

  Scenario: A request is echoed and the connection is reused
    When the HTTP client posts "one" and then "two"
    Then the HTTP responses are "one" and "two" on 1 connection

  Scenario: A timed-out connection is never reused
    When the HTTP client posts "slow" with a timeout of 0.05 seconds and then "two"
    Then the first HTTP exchange failed with "AnswerLost"
    And the last HTTP response is "two" on 2 connections

  Scenario: A request on a refused connection is reported as not sent
    When the HTTP client posts "one" to a closed port
    Then the first HTTP exchange failed with "NotSent"

  Scenario: A stream arrives in pieces and closing it closes its source
    When the HTTP client reads 2 pieces of an endless stream and closes it
    Then the stream's source was closed

  Scenario: Aborting a stream ends a read that waits
    When the HTTP client aborts a stream while a read waits
    Then the waiting HTTP read failed

  Scenario Outline: Malformed requests get an error status and an outcome
    When the raw bytes <kind> are sent to the HTTP server
    Then the raw HTTP response has status <status> and outcome "not-run"

    Examples:
      | kind              | status |
      | garbage           | 400    |
      | oversized headers | 431    |
      | oversized body    | 413    |

  Scenario: A request that is no longer valid once connected is not sent
    When the HTTP client posts "one" whose send is forbidden once connected
    Then the first HTTP exchange failed with "NotSent"
    And the HTTP server got no request

  Scenario: Bytes after a response are not read as the next response
    When the HTTP client asks a server twice that sends two responses at a time
    Then both HTTP responses are the first ones, on 2 connections
