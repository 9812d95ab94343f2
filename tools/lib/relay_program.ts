import { z } from "zod";
import type { RelayControl } from "../../stand_ins/relay/control.ts";
import { Program } from "./program.ts";

const ListeningSchema = z.object({ address: z.string(), control: z.string() });

/** A relay in front of one listener, as a process of its own. */
export class RelayProgram {
  readonly program: Program;
  /** Where the relayed listener is reached. */
  readonly address: string;
  readonly #control: string;

  private constructor(
    program: Program,
    listening: z.infer<typeof ListeningSchema>,
  ) {
    this.program = program;
    this.address = listening.address;
    this.#control = `http://${listening.control}/control`;
  }

  /** Starts a relay to a `host:port`. */
  static async start(target: string): Promise<RelayProgram> {
    const program = Program.create("stand_ins/relay/main.js", {
      args: ["--target", target],
    });
    const line = await program.line((text) => text.includes('"control"'));
    return new RelayProgram(program, ListeningSchema.parse(JSON.parse(line)));
  }

  /** Switches the relay's faults. */
  async control(change: RelayControl): Promise<void> {
    const res = await fetch(this.#control, {
      method: "POST",
      headers: { "content-type": "application/json", connection: "close" },
      body: JSON.stringify(change),
    });
    if (!res.ok) throw new Error(`The relay refused: ${await res.text()}`);
  }
}
