import { expect, test } from "vitest";
import { checkFolder } from "./check_folder.ts";
import {
  type ConfigError,
  type ConfigFile,
  formatConfigError,
} from "./config_error.ts";

const VALID_CONFIG = `[model.m]
versions = 1, 2
version = 2
[adapter.a]
model = m
[group.g]
models = m
adapters = a
checks_fencing = true
order_delay_ms = 2000
[service.s]
once = POST /orders
[team.t]
share = 3
models = m
[class.c]
urgency = 0
deadline_ms = 1000
max_deadline_ms = 2000
`;

function file(name: string, text: string): ConfigFile {
  return { name, text };
}

function errorsOf(...texts: readonly string[]): readonly ConfigError[] {
  const files = texts.map((text, index) => file(`${index}.ini`, text));
  return checkFolder(files).match(() => [], (errors) => errors);
}

test("files of a folder merge into one configuration; later files override single keys", () => {
  const config = checkFolder([
    file("20.ini", "[team.t]\nshare = 5\n[limits]\nmax_attempts = 2\n"),
    file("10.ini", VALID_CONFIG),
  ])._unsafeUnwrap();
  const { limits, ...sections } = config;
  expect(limits.maxAttempts).toBe(2);
  expect(sections).toMatchInlineSnapshot(`
    {
      "classes": [
        {
          "deadlineMs": 1000,
          "id": "c",
          "maxDeadlineMs": 2000,
          "urgency": 0,
        },
      ],
      "groups": [
        {
          "checksFencing": true,
          "id": "g",
          "loaded": [
            {
              "adapters": [
                "a",
              ],
              "model": "m",
              "version": "2",
            },
          ],
          "orderDelayMs": 2000,
        },
      ],
      "models": [
        {
          "adapters": [
            "a",
          ],
          "id": "m",
          "version": "2",
          "versions": [
            "1",
            "2",
          ],
        },
      ],
      "services": [
        {
          "id": "s",
          "once": [
            "POST /orders",
          ],
          "timeoutMs": 10000,
        },
      ],
      "teams": [
        {
          "id": "t",
          "models": [
            "m",
          ],
          "services": [],
          "share": 5,
          "tokenDigests": [],
        },
      ],
    }
  `);
});

test("all errors are returned together, each with file, line, key, found text and allowed values", () => {
  const errors = errorsOf(
    VALID_CONFIG,
    `[team.t]
shar = 4
[team.u]
share = many
models = n
[group.g]
models = m@3
`,
  );
  expect(errors.map(formatConfigError)).toMatchInlineSnapshot(`
    [
      "1.ini:2: [team.t] shar: unknown_key: found "shar"; allowed: share, token_digests, models, services (nearest: share)",
      "1.ini:4: [team.u] share: wrong_type: found "many"; allowed: a whole number from 1 to 1000000",
      "1.ini:5: [team.u] models: dangling_reference: found "n"; allowed: m (nearest: m)",
      "1.ini:7: [group.g] models: dangling_reference: found "m@3"; allowed: m@1, m@2 (nearest: m@1)",
    ]
  `);
});

const INVALID_CONFIGS:
  readonly (readonly [string, string, ConfigError["code"]])[] = [
    ["unknown kind", "[teem.x]\nshare = 1", "unknown_section"],
    ["kind without name", "[team]\nshare = 1", "unknown_section"],
    ["name where none belongs", "[limits.x]", "unknown_section"],
    ["malformed name", "[team.a b]\nshare = 1", "unknown_section"],
    ["prototype name", "[__proto__]\nshare = 1", "unknown_section"],
    ["unknown key", "[limits]\nmax_request = 1", "unknown_key"],
    ["key before any section", "share = 1", "unknown_key"],
    ["missing key", "[team.x]", "missing_key"],
    ["word for a number", "[limits]\nmax_requests = lots", "wrong_type"],
    [
      "fraction for a whole number",
      "[limits]\nmax_requests = 1.5",
      "wrong_type",
    ],
    ["empty number", "[limits]\nmax_requests =", "wrong_type"],
    ["hexadecimal number", "[limits]\nmax_requests = 0x10", "wrong_type"],
    ["word for a flag", "[group.g]\nchecks_fencing = yes", "wrong_type"],
    ["below the range", "[limits]\nmax_requests = 0", "out_of_range"],
    ["above the range", "[limits]\nretry_ratio = 1.01", "out_of_range"],
    ["empty list", "[group.g]\nmodels =\nadapters =", "out_of_range"],
    ["malformed call pattern", "[service.s]\nonce = orders", "out_of_range"],
    ["malformed digest", "[team.t]\ntoken_digests = abc", "out_of_range"],
    [
      "deadline past its bound",
      "[class.c]\ndeadline_ms = 9000",
      "out_of_range",
    ],
    [
      "skew past the key window",
      "[limits]\nkey_window_ms = 60000\nclock_skew_ms = 30000",
      "out_of_range",
    ],
    ["key twice", "[team.t]\nshare = 1\nshare = 2", "duplicate_key"],
    ["model twice in a group", "[group.g]\nmodels = m@1, m@2", "duplicate_key"],
    [
      "token of two teams",
      `[team.t]\ntoken_digests = ${
        "a".repeat(64)
      }\n[team.u]\nshare = 1\ntoken_digests = ${"a".repeat(64)}`,
      "duplicate_key",
    ],
    [
      "version not of the model",
      "[model.m]\nversion = 3",
      "dangling_reference",
    ],
    ["adapter of no model", "[adapter.b]\nmodel = n", "dangling_reference"],
    [
      "group of no model",
      "[group.h]\nmodels = n\nchecks_fencing = true\norder_delay_ms = 1",
      "dangling_reference",
    ],
    ["group of no version", "[group.g]\nmodels = m@3", "dangling_reference"],
    ["group of no adapter", "[group.g]\nadapters = b", "dangling_reference"],
    [
      "adapter of a model that the group lacks",
      "[model.n]\nversions = 1\nversion = 1\n[group.g]\nmodels = n\nadapters = a",
      "dangling_reference",
    ],
    ["team of no model", "[team.t]\nmodels = n", "dangling_reference"],
    ["team of no service", "[team.t]\nservices = n", "dangling_reference"],
    [
      "second line after a bare carriage return",
      "[limits]\nmax_attempts = 2\rmax_request = 1",
      "unknown_key",
    ],
    ["line without a value", "[limits]\nmax_requests", "malformed_line"],
    ["section that does not close", "[limits\n", "malformed_line"],
    ["value without a key", "[limits]\n= 4", "malformed_line"],
  ];

test.each(INVALID_CONFIGS)("rejects: %s", (_, text, code) => {
  const found = errorsOf(VALID_CONFIG, text);
  expect(found.map((error) => error.code)).toContain(code);
  for (const error of found) {
    expect(error).toMatchObject({ file: "1.ini" });
    expect(error.line).toBeGreaterThan(0);
    expect(error.allowed).not.toBe("");
  }
});

test("a folder without a request class is rejected", () => {
  expect(errorsOf("[limits]\n").map((error) => error.code)).toEqual([
    "missing_section",
  ]);
});
