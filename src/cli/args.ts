import { extendType, flag, number, option, optional, string } from "cmd-ts";
import { readFile } from "node:fs/promises";
import { SECOND_MS } from "../core/time.ts";

const DEFAULT_TIMEOUT_S = 30;
const HOST_AND_PORT = /^([^\s:\[\]/]+|\[[0-9a-fA-F:.]+\]):\d{1,5}$/;

/** `--json`, which every verb takes. */
export const jsonArg = {
  json: flag({
    long: "json",
    description: "write one JSON object to standard output",
  }),
};

const httpUrl = extendType(string, {
  displayName: "URL",
  from: (text) => {
    const url = URL.canParse(text) ? new URL(text) : undefined;
    if (/^https?:$/.test(url?.protocol ?? "")) return Promise.resolve(text);
    return Promise.reject(new Error(`${text} is not a URL of http or https`));
  },
});

const hostAndPort = extendType(string, {
  displayName: "HOST:PORT",
  from: (text) => {
    if (HOST_AND_PORT.test(text)) return Promise.resolve(text);
    return Promise.reject(new Error(`${text} is not HOST:PORT`));
  },
});

const pemFile = extendType(string, {
  displayName: "FILE",
  from: (path) => readFile(path, "utf8"),
});

/** `--log`, for verbs that read or append the platform's log. */
export const logArg = {
  log: option({
    long: "log",
    env: "PARSLEYFIELD_LOG",
    type: optional(httpUrl),
    description: "URL of the platform's log service",
  }),
};

/** `--entry`, for verbs that talk to daemons. */
export const entryArg = {
  entry: option({
    long: "entry",
    env: "PARSLEYFIELD_ENTRY",
    type: optional(hostAndPort),
    description: "HOST:PORT of any daemon's client listener",
  }),
  operatorToken: option({
    long: "operator-token",
    env: "PARSLEYFIELD_OPERATOR_TOKEN",
    type: optional(string),
    description: "operators' bearer token; better in the environment",
  }),
  ca: option({
    long: "ca",
    env: "PARSLEYFIELD_CA",
    type: optional(pemFile),
    description: "file of the authority that signs the daemons; turns TLS on",
  }),
};

/** `--timeout`, in seconds. */
export const timeoutArg = {
  timeout: option({
    long: "timeout",
    type: number,
    defaultValue: () => DEFAULT_TIMEOUT_S,
    defaultValueIsSerializable: true,
    description: "seconds to wait for each of: the log, the daemons",
  }),
};

/** Returns seconds as milliseconds. */
export function secondsToMs(value: number): number {
  return Math.round(value * SECOND_MS);
}
