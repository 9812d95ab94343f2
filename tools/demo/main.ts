import process from "node:process";
import { Demo } from "./demo.ts";

const demo = Demo.create();
const passed = await demo.run();
process.exitCode = passed ? 0 : 1;
