"""Checks a fleet of three instances with the unmodified `openai` package."""

import hashlib
import json
import pathlib
import subprocess
import sys
import tempfile
import time

import openai

TOKEN = "operator-token-of-the-openai-check"
DOMAINS = ["d1", "d2", "d3"]
ITEMS = 10_000
MODEL = "standin-1"
TOKENS = 8
PATIENCE_SECONDS = 400


def expected(messages, tokens):
    """Returns the answer of the stand-in engine: the prompt's digest with each token's number."""
    text = json.dumps(messages, separators=(",", ":"), sort_keys=True)
    digest = 0x811C9DC5
    for byte in text.encode():
        digest = ((digest ^ byte) * 0x01000193) & 0xFFFFFFFF
    return "".join(f"{digest:08x}.{index} " for index in range(tokens))


def eventually(what, attempt):
    """Repeats `attempt` until it returns a value."""
    deadline = time.monotonic() + PATIENCE_SECONDS
    while True:
        try:
            found, fault = attempt(), "no value"
        except (openai.OpenAIError, subprocess.CalledProcessError) as error:
            found, fault = None, error
        if found:
            return found
        if time.monotonic() > deadline:
            raise SystemExit(f"{what}: {fault}")
        time.sleep(0.2)


class Fleet:
    """Stand-ins and instances; all are ended by their process ids."""

    def __init__(self, programs, folder):
        self.programs, self.folder = programs, folder
        self.processes = {}
        self.callers, self.operators = {}, {}

    def start(self, name, program, *args):
        output = self.folder / f"{name}.log"
        with output.open("w") as file:
            command = [self.programs / program, *args]
            self.processes[name] = subprocess.Popen(command, stdout=file, stderr=file)
        return output

    def kill(self, name):
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def end(self):
        for name in list(self.processes):
            self.kill(name)

    def start_standins(self):
        args = ["--platform", "127.0.0.1:0"]
        for index in range(6):
            args += ["--engine", f"e{index}@127.0.0.1:0"]
        output = self.start("standin", "sesamewall-standin", *args)

        def printed():
            lines = [line.split() for line in output.read_text().splitlines()]
            return lines if len(lines) == 7 else None

        lines = eventually("stand-ins start", printed)
        self.platform = next(line[-1] for line in lines if line[0] == "platform")
        self.engines = [(line[1], line[-1]) for line in lines if line[0] == "engine"]

    def start_instance(self, domain):
        name = f"{domain}-1"
        settings = {
            "instance": name,
            "domain": domain,
            "domains": DOMAINS,
            "caller_addr": "127.0.0.1:0",
            "operator_addr": "127.0.0.1:0",
            "platform_url": self.platform,
            "data_dir": str(self.folder / name),
            "operator_hash": hashlib.sha256(TOKEN.encode()).hexdigest(),
        }
        file = self.folder / f"{name}.toml"
        file.write_text("".join(f"{key} = {json.dumps(settings[key])}\n" for key in settings))
        output = self.start(name, "sesamewalld", "--config", str(file))

        def logged():
            lines = [line for line in output.read_text().splitlines() if line.startswith("{")]
            return next((line for line in map(json.loads, lines) if "callers" in line), None)

        line = eventually(f"{name} starts", logged)
        self.callers[name] = f"http://{line['callers']}/v1"
        self.operators[name] = f"http://{line['operators']}"

    def operate(self, *args):
        server = next(self.operators[name] for name in self.operators if name in self.processes)
        command = [self.programs / "sesamewall", "--server", server, "--output", "json"]
        environment = {"SESAMEWALL_TOKEN": TOKEN, "USER": "openai-check"}
        done = subprocess.run(
            [*command, *args], env=environment, check=True, stdout=subprocess.PIPE
        )
        return json.loads(done.stdout)

    def apply_resources(self):
        resources = [{"kind": "domain", "name": domain, "mode": "in"} for domain in DOMAINS]
        rate = {"rate": 1000.0, "burst": 2000.0}
        resources.append({"kind": "account", "name": "client", "online": rate, "weight": 1.0})
        targets = [
            {"name": name, "domain": DOMAINS[index % 3], "address": url, "fenced": True}
            for index, (name, url) in enumerate(self.engines)
        ]
        group = {"name": "engines", "type": "engine", "models": [MODEL], "targets": targets}
        resources.append({"kind": "target-group", **group})
        file = self.folder / "resources.json"
        file.write_text(json.dumps(resources))
        eventually("resources apply", lambda: self.operate("apply", "-f", str(file)))
        return self.operate("keys", "grant", "--account", "client")["secret"]


def check_online(client):
    messages = [{"role": "user", "content": "what is a domain lead"}]
    call = {"model": MODEL, "messages": messages, "max_tokens": TOKENS}
    answer = eventually("chat", lambda: client.chat.completions.create(**call))
    assert answer.choices[0].message.content == expected(messages, TOKENS), answer
    chunks = client.chat.completions.create(stream=True, **call)
    text = "".join(chunk.choices[0].delta.content or "" for chunk in chunks if chunk.choices)
    assert text == expected(messages, TOKENS), text
    assert [model.id for model in client.models.list()] == [MODEL]
    assert client.models.retrieve(MODEL).id == MODEL


def item(index):
    messages = [{"role": "user", "content": f"item {index}"}]
    body = {"model": MODEL, "messages": messages, "max_tokens": TOKENS}
    return {
        "custom_id": f"item-{index}",
        "method": "POST",
        "url": "/v1/chat/completions",
        "body": body,
    }


def check_output(text):
    lines = [json.loads(line) for line in text.splitlines()]
    found = {line["custom_id"]: line for line in lines}
    assert len(lines) == len(found) == ITEMS, f"{len(lines)} lines, {len(found)} identifiers"
    for index in range(ITEMS):
        line = found[f"item-{index}"]
        assert line["error"] is None, line
        content = line["response"]["body"]["choices"][0]["message"]["content"]
        assert content == expected(item(index)["body"]["messages"], TOKENS), line


def run(fleet):
    fleet.start_standins()
    for domain in DOMAINS:
        fleet.start_instance(domain)
    key = fleet.apply_resources()
    clients = {
        name: openai.OpenAI(base_url=url, api_key=key) for name, url in fleet.callers.items()
    }
    for name, client in clients.items():
        check_online(client)
        print(f"{name}: models, chat and streaming pass", flush=True)

    first, second, last = clients
    content = "\n".join(json.dumps(item(index)) for index in range(ITEMS)).encode()
    file = clients[first].files.create(file=("items.jsonl", content), purpose="batch")
    assert clients[second].files.content(file.id).content == content, "the file differs"
    print(f"{file.id}: {file.bytes} bytes, read back through {second}", flush=True)
    batch = clients[first].batches.create(
        input_file_id=file.id, endpoint="/v1/chat/completions", completion_window="24h"
    )
    fleet.kill(first)
    print(f"{batch.id}: acknowledged by {first}, which is killed", flush=True)

    def counts():
        return clients[last].batches.retrieve(batch.id)

    eventually("the batch runs", lambda: counts().request_counts.completed > 0)
    running = counts()
    assert running.status == "in_progress", running
    fleet.kill(second)
    print(f"{running.request_counts.completed} items done: {second} is killed", flush=True)
    fleet.start_instance(DOMAINS[0])
    fleet.start_instance(DOMAINS[1])

    def ended():
        now = counts()
        return now if now.status not in ("validating", "in_progress") else None

    done = eventually("the batch ends", ended)
    print(f"{done.status}: {done.request_counts}", flush=True)
    assert done.status == "completed" and done.error_file_id is None, done
    check_output(clients[last].files.content(done.output_file_id).text)
    other = openai.OpenAI(base_url=fleet.callers[second], api_key=key)
    text = eventually("the output", lambda: other.files.content(done.output_file_id).text)
    check_output(text)
    print(f"all {ITEMS} items completed exactly once, read through two instances")


def main():
    programs = pathlib.Path(sys.argv[1]).resolve()
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(programs, pathlib.Path(folder))
        try:
            run(fleet)
        finally:
            fleet.end()


main()
