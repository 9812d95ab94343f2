import { connect, type Socket } from "node:net";
import { err, ok, type Result } from "neverthrow";
import type { Millis } from "../../core/time.ts";
import { unexpectedFields } from "../../core/unexpected_error.ts";
import { splitAddress } from "../address.ts";
import { ReadFirstTimer } from "../read_first_timer.ts";

/** Connect time-out; shorter than the 1 s after which the kernel resends a lost SYN. */
export const CONNECT_TIMEOUT_MS: Millis = 350;

/** Starts to connect to an upstream; half-open, so that a reset can be told from the end of a response. */
export function connectTo(address: string): Socket {
  return connect({ ...splitAddress(address), allowHalfOpen: true });
}

/** Whether an error shows that no process listens on an address; a time-out or a missing route doesn't. */
export function isRefusal(err: Error): boolean {
  return "code" in err && err.code === "ECONNREFUSED";
}

/** Why there is no connection to an upstream. */
export type ConnectError = Readonly<{ detail: string; refused: boolean }>;

/** Opens a connection to an upstream. */
export function openConnection(
  address: string,
): Promise<Result<Socket, ConnectError>> {
  return new Promise((resolve) => {
    let socket: Socket;
    try {
      socket = connectTo(address);
    } catch (cause) {
      const detail = unexpectedFields(cause).cause;
      return resolve(err({ detail, refused: false }));
    }
    const fail = (detail: string, refused = false) => {
      timer.stop();
      socket.destroy();
      resolve(err({ detail, refused }));
    };
    const timer = ReadFirstTimer.start(
      () => fail("Connection timed out"),
      CONNECT_TIMEOUT_MS,
    );
    const onError = (cause: Error) => fail(cause.message, isRefusal(cause));
    socket.once("error", onError);
    socket.once("connect", () => {
      timer.stop();
      socket.off("error", onError);
      // Until the connection is used, an error only closes it.
      socket.on("error", () => {});
      resolve(ok(socket));
    });
  });
}
