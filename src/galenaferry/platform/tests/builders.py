"""Builders of a node file and of rows in the platform's formats."""

import json

NODE_FILE = """
nodeName = "front-a-1"
ip = "10.1.0.18"
zone = "a"
region = "r"
internalPortRange = [7200, 7215]
seedNodes = ["10.1.0.18:8382", "10.2.0.34:8382"]
unknown = "left alone"
bounds = ["drainTimeoutMs=2000", "gracePeriodS=6", "floorShare=0.7", "retryBudgetRatio=0.2", "retryBudgetSlack=58", "budgetWindowS=10", "new=1"]
[listen]
front = "10.1.0.18:8381"
ready = "10.1.0.18:8388"
[platform]
address = "10.200.1.7:8384"
"""


def entry_json(**parts):
    data = {
        "address": "10.128.0.9:8080",
        "born": 1787221204054,
        "info": {"service": "s", "version": "v1", "zone": "a", "slots": 6},
        "status": {"state": "ready", "sequence": 4, "coldRemainingMs": 250},
    }
    return json.dumps(data | parts).encode()


def configuration_json(**parts):
    data = {
        "version": "0000001a",
        "routes": [
            {
                "name": "split",
                "host": "A.example",
                "prefix": "/x/",
                "kind": "idempotent",
                "timeoutMs": 4000,
                "targetLatencyMs": 2000,
                "priority": 2,
                "trafficSplit": [
                    {"service": "s", "weight": 90},
                    {"service": "t", "weight": 10},
                ],
                "maxAttempts": 2,
            },
            {
                "name": "plain",
                "host": "b.example",
                "prefix": "/y/",
                "kind": "non_idempotent",
                "service": "s",
                "maxAttempts": 2,
            },
        ],
        "services": [
            {"name": "s", "healthCheckPath": "/health", "maxConnections": 330},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
    return json.dumps(data | parts).encode()
