import { command, number, option, runSafely, string } from "cmd-ts";
import process from "node:process";
import { createRelayControl } from "./control.ts";
import { Relay } from "./relay.ts";

const app = command({
  name: "relay",
  args: {
    target: option({ type: string, long: "target" }),
    port: option({ type: number, long: "port", defaultValue: () => 0 }),
    controlPort: option({
      type: number,
      long: "control-port",
      defaultValue: () => 0,
    }),
    address: option({
      type: string,
      long: "address",
      defaultValue: () => "127.0.0.1",
    }),
  },
  handler: async (args) => {
    const relay = Relay.create({ target: args.target });
    const address = await relay.listen(args);
    const control = await createRelayControl(relay).listen({
      address: args.address,
      port: args.controlPort,
    });
    console.log(JSON.stringify({ name: "relay", address, control }));
  },
});

const result = await runSafely(app, process.argv.slice(2));
if (result._tag === "error") result.error.run();
