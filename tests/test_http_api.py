"""Tests of the HTTP API of a daemon in a simulated fleet: documents, errors and streams."""

import json
import unittest

import httpx

from larkpost.standalone.api.app import make_app
from tests.simulated_fleet import INTENT, SimulatedFleet


class HttpApiTest(unittest.TestCase):
    def setUp(self):
        self.fleet = SimulatedFleet(seed=11)
        self.node = next(iter(self.fleet.world.daemons.values()))
        transport = httpx.ASGITransport(make_app(self.node.daemon))
        self.client = httpx.AsyncClient(transport=transport, base_url="http://daemon")

    def tearDown(self):
        self.fleet.close()

    def call(self, verb, path, body=None, **headers):
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        work = self.client.request(verb, path, json=body, headers=names)
        return self.fleet.run(work)

    def test_unstreamed_chat_answer_names_its_versions(self):
        body = {"model": "quotes", "messages": [{"role": "user", "content": "hi"}]}
        fields = self.call("POST", "/v1/chat/completions", body).json()
        count = sum(span["count"] for span in fields["larkpost"]["versions"])
        words = fields["choices"][0]["message"]["content"].split()
        self.assertEqual(len(words), count)
        self.assertEqual(fields["usage"]["completion_tokens"], count)

    def test_stream_ends_with_done(self):
        body = {"model": "quotes", "prompt": "hi", "stream": True}
        text = self.call("POST", "/v1/completions", body).text
        self.assertTrue(text.endswith("data: [DONE]\n\n"))

    def test_broken_stream_ends_with_an_error_and_without_done(self):
        for node in self.fleet.world.engines.values():
            node.model.faults.cut_streams = 1000
        body = {"model": "quotes", "prompt": "hi", "stream": True, "max_tokens": 400}
        replies = [
            self.call("POST", "/v1/completions", body, Larkpost_Run_Once="true").text
            for _ in range(8)
        ]
        # After engines have failed, later requests may be refused before a stream begins.
        broken = [text for text in replies if text.startswith("data:") and "error" in text]
        self.assertTrue(broken)
        for text in broken:
            self.assertNotIn("[DONE]", text)
            last = json.loads(text.strip().splitlines()[-1].removeprefix("data: "))
            self.assertEqual(last["error"]["ran"], "unknown")

    def test_bad_requests_are_named_and_did_not_run(self):
        cases = [
            ("/v1/completions", {"model": "nobody", "prompt": "x"}, "nobody"),
            ("/v1/completions", {"model": "quotes"}, "messages"),
            ("/v1/completions", {"model": "quotes", "prompt": "x", "max_tokens": 0}, "max_tokens"),
            ("/v1/completions", {"prompt": "x"}, "model"),
            ("/v1/intent/plan", {"pool": []}, "pool"),
            ("/v1/intent/plan", {"services": [{"name": "s", "pool": "p"}]}, "'p'"),
            ("/v1/engines/absent/drain", None, "absent"),
        ]
        for path, body, word in cases:
            with self.subTest(path=path, body=body):
                reply = self.call("POST", path, body)
                error = reply.json()["error"]
                self.assertEqual((reply.status_code, error["ran"]), (400, "no"))
                self.assertIn(word, error["message"])
                self.assertTrue(error["remedy"])

    def test_pull_of_an_unknown_batch_is_refused(self):
        reply = self.call("POST", "/v1/batches/b/pull", {"page": 1, "trainer_version": 0})
        self.assertEqual(reply.json()["error"]["code"], "unknown_batch")

    def test_batch_is_opened_pulled_and_closed(self):
        shape = INTENT.trainers[0]
        spec = {
            "trainer": shape.name,
            "pool": shape.pools[0],
            "prompts": ["a", "b"],
            "policy_version": 0,
            "max_tokens": 8,
        }
        self.assertEqual(self.call("PUT", "/v1/batches/b", spec).status_code, 204)
        slots = set()
        for page in range(1, 20):
            held = [[slot, slot] for slot in sorted(slots)]
            pull = {"page": page, "trainer_version": 0, "held": held}
            samples = self.call("POST", "/v1/batches/b/pull", pull).json()["samples"]
            slots |= {sample["slot"] for sample in samples}
            if slots == {0, 1}:
                break
        self.assertEqual(slots, {0, 1})
        conflict = self.call("PUT", "/v1/batches/b", spec | {"prompts": ["c"]}).json()["error"]
        self.assertEqual(conflict["code"], "batch_conflict")
        self.assertEqual(self.call("DELETE", "/v1/batches/b").status_code, 204)

    def test_plan_acts_on_nothing_and_confirming_an_outdated_one_is_refused(self):
        intent = INTENT.model_dump(mode="json")
        intent["trainers"].pop()
        first = self.call("POST", "/v1/intent/plan", intent).json()
        second = self.call("POST", "/v1/intent/plan", intent).json()
        self.assertEqual([a["kind"] for a in first["actions"]], ["stop"])
        self.assertEqual(self.call("GET", "/v1/intent").json()["epoch"], 1)
        confirmed = self.call("POST", "/v1/intent/confirm", first).json()
        self.assertEqual((confirmed["epoch"], len(confirmed["zones_in_force"])), (2, 3))
        refused = self.call("POST", "/v1/intent/confirm", second).json()["error"]
        self.assertEqual(refused["code"], "outdated_plan")

    def test_health_readiness_metrics_and_status(self):
        self.assertEqual(self.call("GET", "/healthz").status_code, 200)
        self.assertEqual(self.call("GET", "/readyz").status_code, 200)
        self.assertIn("larkpost_claims_total", self.call("GET", "/metrics").text)
        status = self.call("GET", "/v1/status").json()
        self.assertEqual(len(status["engines"]), 8)
