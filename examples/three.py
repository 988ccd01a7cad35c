"""Writes the configurations of three dispatchers that agree with one another, from config.json.

python examples/three.py FOLDER
"""

import json
import sys
from pathlib import Path

folder = Path(sys.argv[1])
folder.mkdir(parents=True, exist_ok=True)
given = json.loads((Path(__file__).parent / "config.json").read_text())
voters = {f"n{n}": f"127.0.0.1:{8280 + n}" for n in range(3)}
for n, name in enumerate(voters):
    given |= {
        "name": name,
        "listen": f"127.0.0.1:{8080 + n}",
        "admin_addr": f"127.0.0.1:{8180 + n}",
        "peers": {"name": name, "voters": voters, "folder": str(folder / name)},
    }
    given["settings"]["balancers"] = len(voters)
    (folder / f"{name}.json").write_text(json.dumps(given, indent=2) + "\n")
