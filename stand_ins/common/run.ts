import { command, number, option, runSafely, string } from "cmd-ts";
import process from "node:process";
import type { ListenOptions } from "./http_host.ts";

/** What a stand-in's program starts. */
export type StandIn = Readonly<
  { listen: (options: ListenOptions) => Promise<string> }
>;

/** Runs a stand-in as a program; prints one JSON line with its address. */
export async function runStandIn(
  name: string,
  create: () => StandIn,
): Promise<void> {
  const app = command({
    name,
    args: {
      port: option({ type: number, long: "port", defaultValue: () => 0 }),
      address: option({
        type: string,
        long: "address",
        defaultValue: () => "127.0.0.1",
      }),
    },
    handler: async (args) => {
      const address = await create().listen(args);
      console.log(JSON.stringify({ name, address }));
    },
  });
  const result = await runSafely(app, process.argv.slice(2));
  if (result._tag === "error") result.error.run();
}
