import {
  command,
  flag,
  number,
  option,
  optional,
  runSafely,
  string,
} from "cmd-ts";
import process from "node:process";
import type {
  AdapterId,
  Incarnation,
  ModelId,
  VersionId,
} from "../../src/core/id.ts";
import type { Loaded } from "../../src/wire/engine.ts";
import { MEAN_ANSWER_TOKENS } from "./answer.ts";
import { EngineServer } from "./engine_server.ts";

const app = command({
  name: "engine",
  description: "Model engine stand-in; prints one JSON line once it listens.",
  args: {
    address: option({
      type: string,
      long: "address",
      defaultValue: () => "127.0.0.1",
    }),
    port: option({ type: number, long: "port", defaultValue: () => 0 }),
    loaded: option({
      type: string,
      long: "loaded",
      description: "model/version[:adapter,...], several divided by blanks",
      defaultValue: () => "m/v1",
    }),
    checksFencing: flag({ long: "checks-fencing" }),
    weightStore: option({ type: optional(string), long: "weight-store" }),
    timeScale: option({
      type: number,
      long: "time-scale",
      defaultValue: () => 1,
    }),
    meanAnswerTokens: option({
      type: number,
      long: "mean-answer-tokens",
      defaultValue: () => MEAN_ANSWER_TOKENS,
    }),
    incarnation: option({
      type: optional(string),
      long: "incarnation",
      description: "as the VM list names this run",
    }),
    seed: option({ type: number, long: "seed", defaultValue: () => 1 }),
  },
  handler: async (args) => {
    const { address, port, loaded, incarnation, ...cfg } = args;
    const server = EngineServer.create({
      ...cfg,
      incarnation: incarnation as Incarnation | undefined,
      loaded: loaded.split(/\s+/).filter(Boolean).map(parseLoaded),
      onCrash: () => process.exit(1),
    });
    const listening = await server.listen({ address, port });
    console.log(JSON.stringify({ name: "engine", address: listening }));
  },
});

function parseLoaded(text: string): Loaded {
  const [weights = "", adapters = ""] = text.split(":");
  const [model = "", version = ""] = weights.split("/");
  return {
    model: model as ModelId,
    version: version as VersionId,
    adapters: adapters.split(",").filter(Boolean) as AdapterId[],
  };
}

const result = await runSafely(app, process.argv.slice(2));
if (result._tag === "error") result.error.run();
