package tcp

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// rawPackages are the packages whose calls use descriptors.
var rawPackages = []string{"syscall", "golang.org/x/sys/unix"}

// takers are the names in rawPackages that take bytes or the report of a failure from a
// connection, or may be any call.
var takers = []string{
	"Recvfrom", "Recvmsg", "RecvmsgBuffers", "Read", "Readv", "Pread", "Preadv", "Preadv2",
	"Write", "Writev", "Sendto", "Sendmsg", "SendmsgN", "SendmsgBuffers", "Sendfile", "Splice", "Tee",
	"MSG_PEEK", "MSG_ERRQUEUE", "SO_ERROR",
	"Syscall", "Syscall6", "Syscall9", "SyscallN", "SyscallNoError",
	"RawSyscall", "RawSyscall6", "RawSyscallNoError",
}

// findTakers returns what a file uses that takes something from a connection past its owner.
func findTakers(path string, text any) ([]string, error) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, text, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	var found []string
	add := func(at ast.Node, what string) {
		found = append(found, fmt.Sprintf("%v: %s", files.Position(at.Pos()), what))
	}
	raw := map[string]bool{}
	for _, spec := range file.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return nil, err
		}
		if !slices.Contains(rawPackages, name) {
			continue
		}
		local := name[strings.LastIndexByte(name, '/')+1:]
		if spec.Name != nil {
			local = spec.Name.Name
		}
		if local == "." {
			add(spec, "names of "+name+" without it")
		}
		raw[local] = true
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.SelectorExpr:
			if x, ok := n.X.(*ast.Ident); ok && raw[x.Name] && slices.Contains(takers, n.Sel.Name) {
				add(n, x.Name+"."+n.Sel.Name)
			}
		case *ast.CallExpr:
			if name := secondReader(n); name != "" {
				add(n, name)
			}
		}
		return true
	})
	return found, nil
}

// secondReader returns the name of a call that gets another way to read from the descriptor of a
// connection, or reads from it: File of a connection, and Read or Write of a syscall.RawConn, whose
// argument is a function.
func secondReader(call *ast.CallExpr) string {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	name := method.Sel.Name
	if name == "File" && len(call.Args) == 0 {
		return name
	}
	if x, ok := method.X.(*ast.Ident); ok && x.Name == "os" && name == "NewFile" {
		return "os." + name
	}
	if len(call.Args) != 1 || name != "Read" && name != "Write" {
		return ""
	}
	if _, ok := call.Args[0].(*ast.FuncLit); ok {
		return name + " of a descriptor"
	}
	return ""
}

// TestConnectionsHaveOneOwner guards against a failure of a connection that something else than
// its reader is told of: the kernel reports it once, and the read sees an orderly end then.
func TestConnectionsHaveOneOwner(t *testing.T) {
	const root = "../.."
	checked := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			switch rel, _ := filepath.Rel(root, path); rel {
			case ".git", "journal", "target", filepath.Join("io", "tcp"):
				return filepath.SkipDir
			}
			return nil
		}
		if filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		checked++
		found, err := findTakers(path, nil)
		for _, f := range found {
			t.Errorf("%s is for io/tcp alone", f)
		}
		return err
	})
	if err != nil || checked == 0 {
		t.Fatal(checked, err)
	}
}

// TestTakersAreFound guards against a use that TestConnectionsHaveOneOwner overlooks, and against
// one that it finds where there is none.
func TestTakersAreFound(t *testing.T) {
	const imports = "package p\nimport (\n\"syscall\"\n\"os\"\nsys \"golang.org/x/sys/unix\"\n)\n"
	for body, want := range map[string]int{
		"n, _, err := sys.Recvfrom(fd, b, sys.MSG_PEEK|sys.MSG_DONTWAIT)":              2,
		"n, _, err := syscall.Recvfrom(fd, b, 2)":                                      1,
		"n, _, _, _, err := sys.Recvmsg(fd, b, nil, 0)":                                1,
		"v, err := sys.GetsockoptInt(fd, sys.SOL_SOCKET, sys.SO_ERROR)":                1,
		"n, err := sys.Read(fd, b)":                                                    1,
		"n, err := sys.Write(fd, b)":                                                   1,
		"read := syscall.Read":                                                         1,
		"_, _, errno := syscall.Syscall6(sys.SYS_RECVFROM, 0, 0, 0, 0, 0, 0)":          1,
		"err := raw.Read(func(fd uintptr) bool { return true })":                       1,
		"f, err := conn.File()":                                                        1,
		"f := os.NewFile(fd, name)":                                                    1,
		"err := raw.Control(func(fd uintptr) { v, _ := sys.IoctlGetInt(int(fd), 1) })": 0,
		"n, err := sys.Poll(fds, 0)":                                                   0,
		"n, err := conn.Read(b)":                                                       0,
		"f := files.File(at)":                                                          0,
	} {
		found, err := findTakers("p.go", imports+"func f() {\n"+body+"\n}\n")
		if err != nil || len(found) != want {
			t.Errorf("%s: %v, %v, want %d", body, found, err, want)
		}
	}
	if found, err := findTakers("p.go", "package p\nimport . \"syscall\"\n"); err != nil || len(found) != 1 {
		t.Error(found, err)
	}
}
