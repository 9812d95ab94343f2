import { expect, test } from "vitest";
import { checkDaemonSettings } from "./daemon_settings.ts";
import { checkFolder } from "./check_folder.ts";
import { readConfigFile, readFolder } from "./folder_reader.ts";

const EXAMPLES = new URL("../../examples/", import.meta.url).pathname;

test.each(["cooperative", "faro"])("examples/%s is valid", async (name) => {
  const files = (await readFolder(EXAMPLES + name))._unsafeUnwrap();
  const config = checkFolder(files)._unsafeUnwrap();
  const urgencies = config.classes.map((item) => item.urgency);
  expect(urgencies).toEqual([...urgencies].sort());
  expect({
    models: config.models.length,
    adapters: config.models.flatMap((model) => model.adapters).length,
    teams: config.teams.length,
    classes: config.classes.length,
    once: config.services.every((service) => service.once.length > 0),
  }).toEqual({ models: 1, adapters: 2, teams: 10, classes: 3, once: true });
});

test("examples/daemon.ini is valid", async () => {
  const file = (await readConfigFile(`${EXAMPLES}daemon.ini`))._unsafeUnwrap();
  expect(checkDaemonSettings(file)._unsafeUnwrap()).toMatchInlineSnapshot(`
    {
      "admin": {},
      "daemon": {
        "clientAddress": "127.0.0.1:8080",
        "domain": "a",
        "peerAddress": "127.0.0.1:9090",
        "peerListen": undefined,
        "vm": "entry-a-1",
      },
      "log": {
        "level": "info",
      },
      "metrics": {
        "statsdHost": "127.0.0.1",
        "statsdPort": 8125,
      },
      "platform": {
        "logUrl": "http://127.0.0.1:7001",
        "vmListUrl": "http://127.0.0.1:7002",
        "weightStoreUrl": "http://127.0.0.1:7003",
      },
      "tls": {},
    }
  `);
});

test("reading a missing folder returns an error instead of throwing", async () => {
  const errors = (await readFolder(`${EXAMPLES}none`))._unsafeUnwrapErr();
  expect(errors.map((error) => error.code)).toEqual(["unreadable"]);
});
